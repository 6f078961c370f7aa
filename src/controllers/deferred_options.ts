/**
 * What the deferred work controller is given, and its bounds.
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

/** Bounds and delays of deferred work. */
export interface DeferredLimits {
  readonly segment: SegmentLimits;
  readonly output: OutputLimits;
  /** Largest payload, bytes. */
  readonly payloadBytes: number;
  /** Longest idempotency key, bytes. */
  readonly keyBytes: number;
  /** Most tasks of one work. */
  readonly tasks: number;
  /** Most that all works of this instance take, bytes. */
  readonly heldBytes: number;
  /** Time that a finished work can be shown, milliseconds. */
  readonly retentionMs: number;
  /** Time that a finished work can be shown at least, also where memory is short, milliseconds. */
  readonly shortRetentionMs: number;
  /** Interval of dropping what is past its retention, milliseconds. */
  readonly sweepMs: number;
  /** Longest wait for the acknowledgement of a submission, milliseconds. */
  readonly submitMs: number;
  /** Delay before the second attempt of a task, doubled for each further one. */
  readonly backoffMs: number;
  /** Longest delay before an attempt. */
  readonly backoffMaxMs: number;
  /** Most endings that wait for the service to come back. */
  readonly endings: number;
  /** Delay before an attempt whose fate is open is asked for again. */
  readonly findRetryMs: number;
  /** Attempts asked for at once after an adoption. */
  readonly findConcurrency: number;
}

/** Bounds for an instance of 256 MB. */
export const DEFERRED_LIMITS: DeferredLimits = {
  segment: SEGMENT_LIMITS,
  output: { taskBytes: 16_384, workBytes: 262_144 },
  payloadBytes: 262_144,
  keyBytes: 256,
  tasks: 1_000,
  heldBytes: 64_000_000,
  retentionMs: 24 * 3_600_000,
  shortRetentionMs: 600_000,
  sweepMs: 30_000,
  submitMs: 5_000,
  backoffMs: 1_000,
  backoffMaxMs: 60_000,
  endings: 20_000,
  findRetryMs: 500,
  findConcurrency: 64,
};

/** What the controller works with. */
export interface DeferredOptions {
  /** Id of this instance, and the name of its own segment. */
  readonly self: string;
  readonly store: Store;
  readonly clock: Clock;
  /** Gives an id that is unique among all instances. */
  readonly newId: () => string;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly runner: TaskRunner;
  /** Shared by everything of this instance that writes to the service. */
  readonly budget: WriteBudget;
  readonly limits: DeferredLimits;
  /** A later owner of a segment held here has been seen. */
  readonly lost: (segment: string) => void;
  /** A segment that was adopted is empty and has been removed. */
  readonly retired: (segment: string) => void;
}
