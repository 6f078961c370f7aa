/**
 * Reasons for the state of deferred work and of teams.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Task } from "../journal/records.ts";
import type { Reason } from "../types.ts";

/** Why a work stands where it does; tasks that go on count before those that ended. */
export function workReason(
  tasks: readonly Task[],
  waits: () => Reason,
): Reason | undefined {
  for (const type of PRECEDENCE) {
    const task = tasks.find((each) => each.type === type);
    if (task !== undefined) return taskReason(task, waits);
  }
  return undefined;
}

/** What the decision on waiting work depends on. */
export interface WaitFacts {
  readonly team: string;
  readonly workload: string;
  /** Whether the operators have named the workload. */
  readonly known: boolean;
  readonly couldEverFit: boolean;
  readonly inContact: boolean;
  readonly storeReached: boolean;
  /** Upper limit of the team; absent if it has none. */
  readonly limit: number | undefined;
  /** What the team has running in the fleet. */
  readonly running: number;
  /** Use of the fleet by the team, relative to its share. */
  readonly rank: number;
  /** Rank of a team that has just its share. */
  readonly fairRank: number;
}

/** Why work waits; the reason that an operator can least wait out comes first. */
export function waitReason(facts: WaitFacts): Reason {
  const { team, workload, limit, running } = facts;
  if (!facts.known) return { type: "unknownWorkload", workload };
  if (!facts.couldEverFit) return { type: "neverFits", workload };
  if (!facts.inContact) return { type: "isolated" };
  if (!facts.storeReached) return { type: "storeAway" };
  if (limit !== undefined && running >= limit) {
    return { type: "overLimit", team, limit };
  }
  if (facts.rank > facts.fairRank) return { type: "overShare", team };
  return { type: "noRoom", workload };
}

const PRECEDENCE = [
  "running",
  "waiting",
  "parked",
  "cancelled",
] as const satisfies readonly Task["type"][];

function taskReason(task: Task, waits: () => Reason): Reason | undefined {
  switch (task.type) {
    case "running":
      return { type: "placed", worker: task.worker };
    case "waiting":
      return waits();
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

/** A task whose last attempt was lost is parked where it may not run twice. */
function parkedReason(
  { cause, worker, attempts }: Task & { readonly type: "parked" },
): Reason {
  const lost = cause !== "attemptsSpent" && worker !== undefined;
  return lost
    ? { type: "workerLost", worker }
    : { type: "attemptsSpent", attempts };
}
