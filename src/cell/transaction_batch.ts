/**
 * Packs the changes of jobs into transactions.
 *
 * @module
 */
import type { Condition, Write } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import { endedJobOf, writesOf } from "./job_writes.ts";
import { encodeEnd, PROGRESS_PREFIX } from "./records.ts";

/** The store's limit on the conditions and writes of a transaction; source: the platform's pages. */
const MAX_ENTRIES_PER_TRANSACTION = 32;
/** A job needs a condition, and writes of its submission and of its progress. */
const MAX_ENTRIES_PER_JOB = 3;
/** The deletion of an end record needs a condition and a write. */
const ENTRIES_PER_REMOVAL = 2;

/** Result of writing a job. `deposed`: this instance's term ended before the write was confirmed. */
export type SaveResult = "saved" | "deposed";

/** What a pending write records: the current state of a job, or the end of a job that never arrived. */
export type RecordedChange =
  | { readonly type: "job"; readonly job: Job }
  | { readonly type: "end"; readonly end: EndedJob };

/** Changes of one job that are not stored yet. */
export interface PendingWrite {
  /** Id of the job. */
  readonly id: string;
  readonly change: RecordedChange;
  /** Whether the submission itself is not stored yet. */
  submission: boolean;
  /**
   * Earliest time of a retry, monotonic milliseconds; 0 before the first
   * failure. A retry is not batched with other pending jobs.
   */
  retryAtMs: number;
  /** Earliest time of the write, monotonic milliseconds. A further change of the job never moves it back. */
  notBeforeMs: number;
  readonly waiters: ((saved: SaveResult) => void)[];
}

/** A transaction and the changes that it contains. */
export interface TransactionBatch {
  readonly pending: readonly PendingWrite[];
  /** Ids of ended jobs whose record is deleted. */
  readonly endRecordsToRemove: readonly string[];
  /** Jobs whose end is written. */
  readonly ended: readonly EndedJob[];
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** The changes to write, and the revisions of the records that they replace. */
export interface UnwrittenChanges {
  readonly pending: readonly PendingWrite[];
  /** Ids of ended jobs whose record is to be deleted. */
  readonly endRecordsToRemove: readonly string[];
  /** Store revision of a job's progress record; 0 if there is none. */
  readonly revisionOf: (id: string) => number;
}

/**
 * Packs all changes into as few transactions as their sizes permit. Each is
 * conditional on `termCondition` and on unchanged records of its jobs. `endedMs`: the time
 * at which jobs that are over have ended, Unix milliseconds.
 */
export function packBatches(
  { pending, endRecordsToRemove, revisionOf }: UnwrittenChanges,
  termCondition: Condition,
  endedMs: number,
): readonly TransactionBatch[] {
  const batches: MutableBatch[] = [];
  const batchWithSpaceFor = (entries: number): MutableBatch => {
    const last = batches.at(-1);
    if (
      last !== undefined &&
      entryCount(last) + entries <= MAX_ENTRIES_PER_TRANSACTION
    ) {
      return last;
    }
    const next = emptyBatch(termCondition);
    batches.push(next);
    return next;
  };
  const unchangedSinceLastWrite = (id: string): Condition => ({
    key: progressKey(id),
    revision: revisionOf(id),
  });
  const sorted = [...pending].sort((a, b) => a.retryAtMs - b.retryAtMs);
  for (const entry of sorted) {
    const { id, change, submission, retryAtMs } = entry;
    const batch = batchWithSpaceFor(
      retryAtMs > 0 ? MAX_ENTRIES_PER_TRANSACTION : MAX_ENTRIES_PER_JOB,
    );
    batch.pending.push(entry);
    batch.conditions.push(unchangedSinceLastWrite(id));
    switch (change.type) {
      case "job": {
        const end = endedJobOf(change.job, endedMs);
        if (end !== undefined) batch.ended.push(end);
        batch.writes.push(...writesOf(change.job, { submission, end }));
        break;
      }
      case "end":
        batch.writes.push({
          type: "put",
          key: progressKey(id),
          value: encodeEnd(change.end),
        });
    }
  }
  for (const id of endRecordsToRemove) {
    const batch = batchWithSpaceFor(ENTRIES_PER_REMOVAL);
    batch.endRecordsToRemove.push(id);
    batch.conditions.push(unchangedSinceLastWrite(id));
    batch.writes.push({ type: "delete", key: progressKey(id) });
  }
  return batches;
}

/** A transaction without jobs, whose only purpose is to check whether the store responds. */
export function probeBatch(
  termCondition: Condition,
  write: Write,
): TransactionBatch {
  return { ...emptyBatch(termCondition), writes: [write] };
}

/** Key of a job's progress record. */
export function progressKey(id: string): string {
  return PROGRESS_PREFIX + id;
}

/** Reports the result of a job's write to all callers that wait for it. */
export function resolveWaiters(pending: PendingWrite, saved: SaveResult): void {
  for (const waiter of pending.waiters) waiter(saved);
}

/** A transaction to which changes can be added. */
interface MutableBatch extends TransactionBatch {
  readonly pending: PendingWrite[];
  readonly endRecordsToRemove: string[];
  readonly ended: EndedJob[];
  readonly conditions: Condition[];
  readonly writes: Write[];
}

function emptyBatch(termCondition: Condition): MutableBatch {
  return {
    pending: [],
    endRecordsToRemove: [],
    ended: [],
    conditions: [termCondition],
    writes: [],
  };
}

function entryCount({ conditions, writes }: TransactionBatch): number {
  return conditions.length + writes.length;
}
