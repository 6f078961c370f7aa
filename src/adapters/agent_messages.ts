/**
 * Messages of the platform's agent that runs on each worker.
 *
 * @module
 */
import * as t from "io-ts";

/** Resources that a worker offers or a task uses. */
export const ResourcesMessage = t.type({
  cpuMillis: t.number,
  memoryMib: t.number,
  accelerators: t.number,
  slots: t.number,
});

const StateMessage = t.union([
  t.type({ type: t.literal("running") }),
  t.type({ type: t.literal("throttled") }),
  t.type({ type: t.literal("succeeded"), result: t.string }),
  t.type({ type: t.literal("failed"), detail: t.string }),
  t.intersection([
    t.type({ type: t.literal("stopped") }),
    t.partial({ checkpoint: t.string }),
  ]),
]);

const TaskMessage = t.type({
  attempt: t.string,
  task: t.string,
  team: t.string,
  workload: t.string,
  state: StateMessage,
  declared: ResourcesMessage,
  used: ResourcesMessage,
});

/** Response to a request for the worker's report. */
export const ReportResponse = t.type({
  ageMs: t.number,
  leaving: t.boolean,
  requests: t.number,
  tasks: t.array(TaskMessage),
});

/** Response to a lease renewal: the attempts that the worker does not run. */
export const RenewResponse = t.type({ missing: t.array(t.string) });

/** Response to a request with an outdated fencing token: the highest token that the worker has seen. */
export const FencedResponse = t.type({ fence: t.number });

/** Response to every other request. */
export const EmptyResponse = t.type({});
