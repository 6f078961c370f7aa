/**
 * Decides what the outcome of an attempt means for its task: it is done, is
 * retried, or is parked for an operator.
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

/** Retry settings of a workload. */
export interface RetryPolicy {
  readonly idempotent: boolean;
  /** Maximum number of attempts before the task is parked. */
  readonly attempts: number;
}

/** Limits on the stored output of tasks. */
export interface OutputLimits {
  /** Maximum size of one task's result or checkpoint, in bytes. */
  readonly taskBytes: number;
  /** Maximum total of the results, checkpoints and failure texts of one work, in bytes. */
  readonly workBytes: number;
}

/** A completed attempt. */
export interface AttemptCompletion {
  readonly work: Work;
  readonly index: number;
  readonly task: RunningTask;
  readonly outcome: AttemptOutcome;
  /** Time of the completion, wall-clock milliseconds. */
  readonly at: number;
}

/** Policy for work whose workload was removed: no retry. */
export const noRetry: RetryPolicy = { idempotent: false, attempts: 1 };

/** Journal records of a completed attempt: its outcome and, if it can't be retried, the parking of its task. */
export function completionRecords(
  completion: AttemptCompletion,
  options: { readonly policy: RetryPolicy; readonly limits: OutputLimits },
): JournalRecord[] {
  const { work, index, task, at } = completion;
  const outcome = limitOutput(completion, options.limits);
  const common = { work: work.sequence, task: index, at };
  const ended = { ...common, attempt: task.attempt, outcome };
  const cause = parkCause({ ...completion, outcome }, options.policy);
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
  completion: AttemptCompletion,
  policy: RetryPolicy,
): ParkCause | undefined {
  const { outcome, task, work } = completion;
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
      return cancelled ? undefined : attemptsSpentCause(task, policy);
    case "failed":
      if (cancelled) return undefined;
      return policy.idempotent
        ? attemptsSpentCause(task, policy)
        : "notIdempotent";
    default:
      return assertNever(outcome);
  }
}

function attemptsSpentCause(
  task: RunningTask,
  policy: RetryPolicy,
): ParkCause | undefined {
  return task.attempts + 1 >= policy.attempts ? "attemptsSpent" : undefined;
}

function limitOutput(
  completion: AttemptCompletion,
  limits: OutputLimits,
): AttemptOutcome {
  const { outcome, work } = completion;
  const free = limits.workBytes - outputBytes(work);
  const fits = (text = "") => text.length <= Math.min(free, limits.taskBytes);
  if (outcome.type === "succeeded" && !fits(outcome.result)) {
    return { type: "succeeded", omittedBytes: outcome.result?.length ?? 0 };
  }
  if (outcome.type === "stopped" && !fits(outcome.checkpoint)) {
    return { type: "stopped" };
  }
  if (outcome.type === "failed") {
    const detail = outcome.detail.slice(0, MAX_DETAIL_CHARS);
    return { type: "failed", detail: textBytes(detail) <= free ? detail : "" };
  }
  return outcome;
}

const MAX_DETAIL_CHARS = 500;

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
