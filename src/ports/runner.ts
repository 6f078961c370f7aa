/**
 * Interface through which the owner of a journal runs deferred tasks. The runner
 * places tasks on workers; the owner writes each attempt to the journal before it
 * starts.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { AttemptOutcome } from "../journal/records.ts";

/** A task that is ready to start. */
export interface RunnableTask {
  /** Identifier of the work that the task belongs to. */
  readonly work: string;
  /** Index within the work. */
  readonly task: number;
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  /** Wall-clock milliseconds. */
  readonly submittedAt: number;
  /** Number of attempts so far that count against the attempt limit. */
  readonly attempts: number;
  /** Number of tasks that must start together, including this one; absent if it may start alone. */
  readonly gangSize?: number;
  /** Checkpoint to start from. Base64. */
  readonly checkpoint?: string;
}

/** An attempt that was written to the journal before its start. */
export interface StartedAttempt {
  readonly work: string;
  readonly task: number;
  readonly attempt: string;
  readonly worker: string;
  /** Fencing token of the start request. */
  readonly fence: number;
}

/** State of an attempt as determined from the worker and its owner. */
export type AttemptState =
  /** It is running. The runner now tracks it and reports its completion. */
  | { readonly type: "running" }
  | { readonly type: "ended"; readonly outcome: AttemptOutcome }
  /** It was not started, and a start request still in flight can no longer succeed. */
  | { readonly type: "neverStarted" }
  /** It is no longer running, and its outcome is unknown. */
  | { readonly type: "unknown" };

/** The state cannot be determined yet; the caller has to retry. */
export interface FindFailure {
  readonly type: "findPending";
  readonly message: string;
}

/** Runs tasks on workers. */
export interface TaskRunner {
  /**
   * Adds tasks to the backlog. All tasks of a gang must be passed in one call,
   * which may also contain tasks of other works.
   */
  enqueue(tasks: readonly RunnableTask[]): void;
  /** Removes the tasks of these works that were not started. */
  withdraw(works: readonly string[]): void;
  /** Stops attempts. An attempt whose start request was not sent yet ends as `notStarted`. */
  cancel(attempts: readonly StartedAttempt[]): void;
  /** Determines the state of an attempt that a previous owner wrote to the journal. */
  find(attempt: StartedAttempt): ResultAsync<AttemptState, FindFailure>;
}
