/**
 * Options and limits of the deferred work controller.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { SEGMENT_LIMITS, type SegmentLimits } from "../journal/segment.ts";
import type { WriteBudget } from "../journal/write_budget.ts";
import type { Workload } from "../operator_set.ts";
import type { TaskRunner } from "../ports/runner.ts";
import type { Store } from "../ports/store.ts";
import type { OutputLimits } from "../state/attempt_policy.ts";

/** Limits, intervals and timeouts of deferred work. */
export interface DeferredWorkLimits {
  readonly segment: SegmentLimits;
  readonly output: OutputLimits;
  /** Maximum payload size, bytes of the base64 text. */
  readonly maxPayloadBytes: number;
  /** Maximum length of an idempotency key, bytes. */
  readonly maxKeyBytes: number;
  /** Maximum number of tasks of one work item. */
  readonly maxTasks: number;
  /** Estimated memory of all work items above which submissions are rejected, bytes. */
  readonly maxBytes: number;
  /** Time for which a finished work item is kept, milliseconds. */
  readonly retentionMs: number;
  /** Time for which a finished work item is kept even if memory is short, milliseconds. */
  readonly minRetentionMs: number;
  /** Interval at which expired work items are removed, milliseconds. */
  readonly sweepIntervalMs: number;
  /** Timeout for the acknowledgement of a submission, milliseconds. */
  readonly submitTimeoutMs: number;
  /** Delay before the second attempt of a task, doubled for each further attempt, milliseconds. */
  readonly initialBackoffMs: number;
  /** Maximum delay before an attempt, milliseconds. */
  readonly maxBackoffMs: number;
  /** Maximum number of completions per segment that wait for the store to be available. */
  readonly maxPendingCompletions: number;
  /** Delay before the state of an unresolved attempt is queried again, milliseconds. */
  readonly findRetryDelayMs: number;
  /** Number of attempts resolved concurrently after a segment was adopted. */
  readonly findConcurrency: number;
}

/** Limits for an instance with 256 MB of memory. */
export const DEFERRED_WORK_LIMITS: DeferredWorkLimits = {
  segment: SEGMENT_LIMITS,
  output: { taskBytes: 16_384, workBytes: 262_144 },
  maxPayloadBytes: 262_144,
  maxKeyBytes: 256,
  maxTasks: 1_000,
  maxBytes: 64_000_000,
  retentionMs: 24 * 3_600_000,
  minRetentionMs: 600_000,
  sweepIntervalMs: 30_000,
  submitTimeoutMs: 5_000,
  initialBackoffMs: 1_000,
  maxBackoffMs: 60_000,
  maxPendingCompletions: 20_000,
  findRetryDelayMs: 500,
  findConcurrency: 64,
};

/** Options of the deferred work controller. */
export interface DeferredWorkOptions {
  /** Id of this instance, which is also the name of its own segment. */
  readonly self: string;
  readonly store: Store;
  readonly clock: Clock;
  /** Returns an id that is unique among all instances. */
  readonly newId: () => string;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly runner: TaskRunner;
  /** Write rate limit shared by all store writers of this instance. */
  readonly budget: WriteBudget;
  readonly limits: DeferredWorkLimits;
  /** Called when a newer owner of an open segment is detected. */
  readonly onLost: (segment: string) => void;
  /** Called when an adopted segment is empty and was deleted from the store. */
  readonly onRetired: (segment: string) => void;
}
