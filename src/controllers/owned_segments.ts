/**
 * The journal segments that this instance owns.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { statusOf } from "../journal/work_state.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  type CancelFailure,
  notHeld,
  unknownWork,
} from "./deferred_failures.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";
import type { DeferredWorkCounts } from "./deferred_types.ts";
import type { OwnedSegment } from "./owned_segment.ts";
import { AttemptRecovery } from "./attempt_recovery.ts";
import type { CheckedSubmission } from "./submission.ts";

/** Minimum interval between searches for expired work items while memory is short, milliseconds. */
const MIN_EXPIRY_INTERVAL_MS = 1_000;

interface Entry {
  readonly segment: OwnedSegment;
  readonly recovery: AttemptRecovery;
}

/** A work item by its segment and sequence number. */
export interface WorkLocation {
  readonly segment: OwnedSegment;
  readonly sequence: number;
}

/** The owned segments by name, each with the recovery of its attempts. */
export class OwnedSegments {
  readonly #options: DeferredWorkOptions;
  readonly #entries = new Map<string, Entry>();
  #nextExpiryAtMs = 0;

  constructor(options: DeferredWorkOptions) {
    this.#options = options;
  }

  /** Returns all owned segments. */
  all(): OwnedSegment[] {
    return [...this.#entries.values()].map(({ segment }) => segment);
  }

  /** Returns the owned segment with this name. */
  get(name: string): OwnedSegment | undefined {
    return this.#entries.get(name)?.segment;
  }

  /** Returns the estimated memory used by all work items, bytes. */
  bytes(): number {
    return sum(this.all().map((segment) => segment.table.bytes));
  }

  /** Parses the id of a work item and finds its segment. */
  find(id: string): Result<WorkLocation, CancelFailure> {
    const parsed = parseWorkId(id);
    if (parsed === undefined) return err(unknownWork);
    const segment = this.get(parsed.segment);
    if (segment === undefined) return err(notHeld(parsed.segment));
    return ok({ segment, sequence: parsed.sequence });
  }

  /**
   * Returns the segment for a submission: the one that contains its idempotency
   * key, else this instance's own segment, else any.
   */
  segmentFor(submission: CheckedSubmission): OwnedSegment | undefined {
    const { team, key } = submission;
    const segments = this.all();
    const withSameKey = key === undefined
      ? undefined
      : segments.find((segment) =>
        segment.table.findByKey(team, key) !== undefined
      );
    return withSameKey ?? this.get(this.#options.self) ?? segments[0];
  }

  /**
   * Adds a segment, enqueues its tasks and starts the recovery of its
   * attempts. An earlier opening of the same segment is abandoned.
   */
  add(segment: OwnedSegment): void {
    this.get(segment.name)?.abandon();
    const recovery = new AttemptRecovery(
      this.#options,
      segment,
      segment.activate(),
    );
    this.#entries.set(segment.name, { segment, recovery });
    recovery.start();
  }

  /** Removes a segment unless a later opening of the same segment has replaced it. */
  remove(segment: OwnedSegment): boolean {
    if (this.get(segment.name) !== segment) return false;
    return this.#entries.delete(segment.name);
  }

  /**
   * Removes work items that finished before the given wall-clock time in
   * milliseconds; returns the empty segments, this instance's own excepted.
   */
  removeExpired(finishedBeforeMs: number): OwnedSegment[] {
    const segments = this.all();
    for (const segment of segments) segment.removeExpired(finishedBeforeMs);
    return segments.filter((segment) =>
      segment.name !== this.#options.self && segment.table.size === 0
    );
  }

  /**
   * Whether memory allows more work items. If not, removes those that are past
   * the minimum retention and checks again.
   */
  hasCapacity(): boolean {
    const { clock, limits } = this.#options;
    if (this.bytes() <= limits.maxBytes) return true;
    const nowMs = clock.now().getTime();
    if (nowMs < this.#nextExpiryAtMs) return false;
    this.#nextExpiryAtMs = nowMs + MIN_EXPIRY_INTERVAL_MS;
    this.removeExpired(nowMs - limits.minRetentionMs);
    return this.bytes() <= limits.maxBytes;
  }

  /** Returns the counts shown on the status page. */
  counts(): DeferredWorkCounts {
    const entries = [...this.#entries.values()];
    const works = this.all().flatMap((segment) => [...segment.table.works()]);
    const statuses = works.map(statusOf);
    const count = (status: string) =>
      statuses.filter((other) => other === status).length;
    return {
      segments: entries.length,
      works: works.length,
      waitingWorks: count("waiting"),
      runningWorks: count("running"),
      parkedWorks: count("parked"),
      unsettledAttempts: sum(
        entries.map(({ recovery: settler }) => settler.unresolvedCount),
      ),
      unwrittenEndings: sum(
        entries.map(({ segment }) => segment.pendingCompletions),
      ),
      heldBytes: this.bytes(),
    };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, number) => total + number, 0);
}
