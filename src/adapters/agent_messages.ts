/**
 * Messages of the platform's agent on a worker.
 *
 * @module
 */
import * as t from "io-ts";

/** Amounts of what a worker offers or a task takes. */
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

/** Answer to a report. */
export const ReportAnswer = t.type({
  ageMs: t.number,
  leaving: t.boolean,
  requests: t.number,
  tasks: t.array(TaskMessage),
});

/** Answer to a renewal. */
export const RenewAnswer = t.type({ missing: t.array(t.string) });

/** Answer to a call with an outdated fencing number. */
export const FencedAnswer = t.type({ fence: t.number });

/** Answer to every other call. */
export const EmptyAnswer = t.type({});
