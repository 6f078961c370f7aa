/**
 * Lanes of the job log: what waits to be written in each, and how lanes share
 * transactions.
 *
 * @module
 */
import type { Write } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import { endOf, writesOf } from "./job_writes.ts";
import { PROGRESS_PREFIX } from "./records.ts";

/** Entries of a transaction; source: the platform's pages. */
const MAX_ENTRIES = 32;
/** Entries that each lane takes: its condition and its own record. */
const LANE_ENTRIES = 2;
/** Most writes of one job: its submission and its progress. */
const JOB_WRITES = 2;

/** What became of a job's write. */
export type Saved = "saved" | "deposed";

/** A job that waits for its write. */
export interface Pending {
  readonly job: Job;
  submission: boolean;
  readonly waiters: ((saved: Saved) => void)[];
}

/** One sequence of transactions. */
export interface Lane {
  readonly key: string;
  revision: number;
  sequence: number;
  readonly dirty: Map<string, Pending>;
  /** Ended jobs whose notes are to be removed. */
  readonly forgotten: string[];
  /** Whether a transaction is under way. */
  busy: boolean;
  /** No transaction before this time, monotonic milliseconds. */
  retryAtMs: number;
  /** Since when transactions have not got through. */
  stuckSinceMs: number | undefined;
}

/** What one lane puts into a transaction. */
export interface Batch {
  readonly lane: Lane;
  readonly writes: readonly Write[];
  readonly pending: readonly Pending[];
  readonly ended: readonly EndedJob[];
  readonly forgotten: readonly string[];
}

/** A lane as a takeover has written it. */
export function newLane(key: string, revision: number): Lane {
  return {
    key,
    revision,
    sequence: 0,
    dirty: new Map(),
    forgotten: [],
    busy: false,
    retryAtMs: 0,
    stuckSinceMs: undefined,
  };
}

/** Whether something waits in a lane. */
export function hasWork(lane: Lane): boolean {
  return lane.dirty.size > 0 || lane.forgotten.length > 0;
}

/**
 * Takes what waits in idle lanes into as few transactions as hold it. A lane
 * whose last transaction did not get through goes alone.
 */
export function packLanes(
  lanes: readonly Lane[],
  endedMs: number,
): readonly (readonly Batch[])[] {
  const groups: Batch[][] = [];
  let group: Batch[] = [];
  let room = MAX_ENTRIES;
  for (const lane of lanes) {
    if (lane.stuckSinceMs !== undefined) {
      groups.push([collect(lane, { room: MAX_ENTRIES, endedMs })]);
      continue;
    }
    if (group.length > 0 && room < LANE_ENTRIES + mostWrites(lane)) {
      groups.push(group);
      group = [];
      room = MAX_ENTRIES;
    }
    const batch = collect(lane, { room, endedMs });
    group.push(batch);
    room -= LANE_ENTRIES + batch.writes.length;
  }
  return group.length === 0 ? groups : [...groups, group];
}

/** A transaction that renews a lane and carries nothing: its answer tells that the store is there. */
export function probeOf(lane: Lane): Batch {
  return collect(lane, { room: LANE_ENTRIES, endedMs: 0 });
}

/** Lets jobs wait again that no transaction has carried. */
export function putBack({ lane, pending, forgotten }: Batch): void {
  lane.forgotten.push(...forgotten);
  for (const entry of pending) {
    const newer = lane.dirty.get(entry.job.id);
    if (newer === undefined) lane.dirty.set(entry.job.id, entry);
    else {
      newer.submission ||= entry.submission;
      newer.waiters.push(...entry.waiters);
    }
  }
}

/** Tells everybody who waits for a job's write. */
export function settle(pending: Pending, saved: Saved): void {
  for (const waiter of pending.waiters) waiter(saved);
}

function mostWrites(lane: Lane): number {
  return lane.dirty.size * JOB_WRITES + lane.forgotten.length;
}

function collect(
  lane: Lane,
  { room, endedMs }: { readonly room: number; readonly endedMs: number },
): Batch {
  const most = room - LANE_ENTRIES;
  const writes: Write[] = [];
  const pending: Pending[] = [];
  const ended: EndedJob[] = [];
  for (const [id, entry] of lane.dirty) {
    if (writes.length + JOB_WRITES > most) break;
    lane.dirty.delete(id);
    pending.push(entry);
    const end = endOf(entry.job, endedMs);
    if (end !== undefined) ended.push(end);
    const { submission } = entry;
    writes.push(...writesOf(entry.job, { submission, end }));
  }
  const forgotten = lane.forgotten.splice(0, most - writes.length);
  for (const id of forgotten) {
    writes.push({ type: "delete", key: PROGRESS_PREFIX + id });
  }
  return { lane, writes, pending, ended, forgotten };
}
