/**
 * Determines the reasons for the state of deferred work.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Task } from "../journal/records.ts";
import type { Reason } from "../types.ts";

/** Reason for the state of a work: that of its first running, else waiting, parked or cancelled task. */
export function workReason(
  tasks: readonly Task[],
  reasonOfWaiting: () => Reason,
): Reason | undefined {
  for (const type of TASK_PRECEDENCE) {
    const task = tasks.find((each) => each.type === type);
    if (task !== undefined) return taskReason(task, reasonOfWaiting);
  }
  return undefined;
}

/** Inputs of {@linkcode waitReason}. */
export interface WaitInputs {
  readonly team: string;
  readonly workload: string;
  /** Whether the workload is configured. */
  readonly known: boolean;
  /** Whether a task of the workload fits on any worker of the fleet when empty. */
  readonly couldEverFit: boolean;
  /** Whether this instance's lease is valid; false while it is isolated. */
  readonly inContact: boolean;
  /** Whether the store answers. */
  readonly storeReached: boolean;
  /** Limit of the team; `undefined` if it has none. */
  readonly limit: number | undefined;
  /** Slots in use by the team in the whole fleet. */
  readonly running: number;
  /** Present and past share of the team in the fleet, divided by its weight. */
  readonly rank: number;
  /** Rank of a team that uses exactly the share that its weight gives it. */
  readonly fairRank: number;
}

/** Reason why work waits. Reasons that don't pass by themselves take precedence. */
export function waitReason(inputs: WaitInputs): Reason {
  const { team, workload, limit, running } = inputs;
  if (!inputs.known) return { type: "unknownWorkload", workload };
  if (!inputs.couldEverFit) return { type: "neverFits", workload };
  if (!inputs.inContact) return { type: "isolated" };
  if (!inputs.storeReached) return { type: "storeAway" };
  if (limit !== undefined && running >= limit) {
    return { type: "overLimit", team, limit };
  }
  if (inputs.rank > inputs.fairRank) return { type: "overShare", team };
  return { type: "noRoom", workload };
}

const TASK_PRECEDENCE = [
  "running",
  "waiting",
  "parked",
  "cancelled",
] as const satisfies readonly Task["type"][];

function taskReason(
  task: Task,
  reasonOfWaiting: () => Reason,
): Reason | undefined {
  switch (task.type) {
    case "running":
      return { type: "placed", worker: task.worker };
    case "waiting":
      return reasonOfWaiting();
    case "parked":
      return parkedReason(task);
    case "cancelled":
      return { type: "cancelled" };
    case "succeeded":
      return undefined;
    default:
      return assertNever(task);
  }
}

/** Reason of a parked task: `attemptsSpent`, or `workerLost` if its last attempt may not be repeated. */
function parkedReason(
  { cause, worker, attempts }: Task & { readonly type: "parked" },
): Reason {
  const isWorkerLost = cause !== "attemptsSpent" && worker !== undefined;
  return isWorkerLost
    ? { type: "workerLost", worker }
    : { type: "attemptsSpent", attempts };
}
