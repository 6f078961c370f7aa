/**
 * Decides what the ending of an attempt means for its task: done, to be tried
 * again, or parked for an operator.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import {
  type AttemptOutcome,
  type JournalRecord,
  type ParkCause,
  type RunningTask,
  textBytes,
  type Work,
} from "../journal/records.ts";
import { outputBytes } from "../journal/work_state.ts";

/** What the decision needs to know of a workload. */
export interface RetryPolicy {
  readonly idempotent: boolean;
  /** Attempts before a task is parked. */
  readonly attempts: number;
}

/** Bounds of what is kept of a task's output. */
export interface OutputLimits {
  /** Largest result or checkpoint of one task. */
  readonly taskBytes: number;
  /** Most that the tasks of one work keep together. */
  readonly workBytes: number;
}

/** An attempt that has ended. */
export interface Ending {
  readonly work: Work;
  readonly index: number;
  readonly task: RunningTask;
  readonly outcome: AttemptOutcome;
  /** Wall-clock milliseconds. */
  readonly at: number;
}

/** Policy for work whose workload has been removed: nothing is run again. */
export const noRetry: RetryPolicy = { idempotent: false, attempts: 1 };

/** Records to write for an ending. */
export function endingRecords(
  ending: Ending,
  options: { readonly policy: RetryPolicy; readonly limits: OutputLimits },
): JournalRecord[] {
  const { work, index, task, at } = ending;
  const outcome = bounded(ending, options.limits);
  const common = { work: work.sequence, task: index, at };
  const ended = { ...common, attempt: task.attempt, outcome };
  const cause = parkCause({ ...ending, outcome }, options.policy);
  if (cause === undefined) return [{ type: "ended", ...ended }];
  return [{ type: "ended", ...ended }, {
    type: "parked",
    ...common,
    cause,
    detail: detailOf(outcome),
    worker: task.worker,
  }];
}

function parkCause(
  ending: Ending,
  policy: RetryPolicy,
): ParkCause | undefined {
  const { outcome, task, work } = ending;
  const cancelled = work.cancelledAt !== undefined;
  switch (outcome.type) {
    case "succeeded":
    case "notStarted":
      return undefined;
    case "stopped":
      if (policy.idempotent) return undefined;
      return outcome.checkpoint === undefined ? "outcomeUnknown" : undefined;
    case "lost":
      if (!policy.idempotent) return "outcomeUnknown";
      return cancelled ? undefined : spent(task, policy);
    case "failed":
      if (cancelled) return undefined;
      return policy.idempotent ? spent(task, policy) : "notIdempotent";
    default:
      return assertNever(outcome);
  }
}

function spent(task: RunningTask, policy: RetryPolicy): ParkCause | undefined {
  return task.attempts + 1 >= policy.attempts ? "attemptsSpent" : undefined;
}

function bounded(ending: Ending, limits: OutputLimits): AttemptOutcome {
  const { outcome, work } = ending;
  const free = limits.workBytes - outputBytes(work);
  const fits = (text = "") => text.length <= Math.min(free, limits.taskBytes);
  if (outcome.type === "succeeded" && !fits(outcome.result)) {
    return { type: "succeeded", omittedBytes: outcome.result?.length ?? 0 };
  }
  if (outcome.type === "stopped" && !fits(outcome.checkpoint)) {
    return { type: "stopped" };
  }
  if (outcome.type === "failed") {
    const detail = outcome.detail.slice(0, DETAIL_CHARS);
    return { type: "failed", detail: textBytes(detail) <= free ? detail : "" };
  }
  return outcome;
}

const DETAIL_CHARS = 500;

function detailOf(outcome: AttemptOutcome): string {
  switch (outcome.type) {
    case "failed":
      return outcome.detail;
    case "lost":
      return "nobody knows how the attempt ended";
    case "stopped":
      return "stopped without a checkpoint";
    case "succeeded":
    case "notStarted":
      return "";
    default:
      return assertNever(outcome);
  }
}
