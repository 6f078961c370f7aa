/**
 * How the changes of jobs share transactions.
 *
 * @module
 */
import type { Condition, Write } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import { endOf, writesOf } from "./job_writes.ts";
import { PROGRESS_PREFIX } from "./records.ts";

/** Entries of a transaction; source: the platform's pages. */
const MAX_ENTRIES = 32;
/** Most entries of one job: its condition, its submission and its progress. */
const MOST_OF_JOB = 3;
/** Entries of the removal of a note: its condition and the removal. */
const OF_REMOVAL = 2;

/** What became of a job's write. */
export type Saved = "saved" | "deposed";

/** A job that waits for its write. */
export interface Pending {
  readonly job: Job;
  submission: boolean;
  /** No transaction before this time, monotonic milliseconds; 0 unless one has failed: then it goes alone. */
  retryAtMs: number;
  /** No transaction before this time unless the job changes again, monotonic milliseconds. */
  notBeforeMs: number;
  readonly waiters: ((saved: Saved) => void)[];
}

/** What one transaction carries. */
export interface Batch {
  readonly pending: readonly Pending[];
  /** Jobs whose notes of their end are removed. */
  readonly forgotten: readonly string[];
  readonly ended: readonly EndedJob[];
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** What waits to be written, and what the store holds of it. */
export interface Waiting {
  readonly pending: readonly Pending[];
  readonly forgotten: readonly string[];
  /** Revision of a job's progress; 0 if there is none. */
  readonly revisionOf: (id: string) => number;
}

/** Puts all that waits into as few transactions as hold it, each on condition of `hold`. */
export function packBatches(
  { pending, forgotten, revisionOf }: Waiting,
  hold: Condition,
  endedMs: number,
): readonly Batch[] {
  const batches: OpenBatch[] = [];
  const roomFor = (entries: number): OpenBatch => {
    const last = batches.at(-1);
    if (last !== undefined && entriesOf(last) + entries <= MAX_ENTRIES) {
      return last;
    }
    const next = openBatch(hold);
    batches.push(next);
    return next;
  };
  const isUnchanged = (id: string): Condition => ({
    key: progressKey(id),
    revision: revisionOf(id),
  });
  const inOrder = [...pending].sort((a, b) => a.retryAtMs - b.retryAtMs);
  for (const entry of inOrder) {
    const { job, submission, retryAtMs } = entry;
    const batch = roomFor(retryAtMs > 0 ? MAX_ENTRIES : MOST_OF_JOB);
    const end = endOf(job, endedMs);
    if (end !== undefined) batch.ended.push(end);
    batch.pending.push(entry);
    batch.conditions.push(isUnchanged(job.id));
    batch.writes.push(...writesOf(job, { submission, end }));
  }
  for (const id of forgotten) {
    const batch = roomFor(OF_REMOVAL);
    batch.forgotten.push(id);
    batch.conditions.push(isUnchanged(id));
    batch.writes.push({ type: "delete", key: progressKey(id) });
  }
  return batches;
}

/** A transaction that carries no job: its answer tells that the store is there. */
export function probeOf(hold: Condition, write: Write): Batch {
  return { ...openBatch(hold), writes: [write] };
}

/** Key of a job's progress. */
export function progressKey(id: string): string {
  return PROGRESS_PREFIX + id;
}

/** Tells everybody who waits for a job's write. */
export function settle(pending: Pending, saved: Saved): void {
  for (const waiter of pending.waiters) waiter(saved);
}

/** A transaction that takes more. */
interface OpenBatch extends Batch {
  readonly pending: Pending[];
  readonly forgotten: string[];
  readonly ended: EndedJob[];
  readonly conditions: Condition[];
  readonly writes: Write[];
}

function openBatch(hold: Condition): OpenBatch {
  return {
    pending: [],
    forgotten: [],
    ended: [],
    conditions: [hold],
    writes: [],
  };
}

function entriesOf({ conditions, writes }: Batch): number {
  return conditions.length + writes.length;
}
