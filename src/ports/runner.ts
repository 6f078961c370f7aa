/**
 * What runs deferred tasks, as the holder of their journal sees it. The runner
 * places tasks on workers; the holder writes every attempt ahead of its start.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { AttemptOutcome } from "../journal/records.ts";

/** A task that may be started. */
export interface RunnableTask {
  /** Identifier of its work. */
  readonly work: string;
  /** Index within the work. */
  readonly task: number;
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  /** Wall-clock milliseconds. */
  readonly submittedAt: number;
  /** Attempts that have counted so far. */
  readonly attempts: number;
  /** Tasks that have to start together, this one among them; absent if it may start alone. */
  readonly gangSize?: number;
  /** State to start from. Base64. */
  readonly checkpoint?: string;
}

/** An attempt that was written ahead. */
export interface StartedAttempt {
  readonly work: string;
  readonly task: number;
  readonly attempt: string;
  readonly worker: string;
  /** Fencing number under which the worker was told to start it. */
  readonly fence: number;
}

/** What could be found out about an attempt. */
export type Finding =
  /** It runs; the runner tracks it from now on and tells of its ending. */
  | { readonly type: "running" }
  | { readonly type: "ended"; readonly outcome: AttemptOutcome }
  /** It was not started, nor can a start that is still under way succeed. */
  | { readonly type: "neverStarted" }
  /** It runs nowhere any more, and nobody knows how it ended. */
  | { readonly type: "unknown" };

/** Nothing can be said yet; to be asked again. */
export interface FindFailure {
  readonly type: "findPending";
  readonly message: string;
}

/** Runs tasks. */
export interface Runner {
  /** Takes tasks that may be started. The tasks of a gang come in one call, maybe with those of other works. */
  enqueue(tasks: readonly RunnableTask[]): void;
  /** Forgets the tasks of these works that were not started. */
  withdraw(works: readonly string[]): void;
  /** Stops attempts; one whose start was not sent yet ends as `notStarted`. */
  cancel(attempts: readonly StartedAttempt[]): void;
  /** Finds out about an attempt that a former holder wrote ahead. */
  find(attempt: StartedAttempt): ResultAsync<Finding, FindFailure>;
}
