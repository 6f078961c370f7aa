/**
 * Writes jobs to the store in group commits.
 *
 * Every transaction is conditional on the last revision of its lane and
 * writes the lane anew. So an order of writes that was given up and is carried
 * out late finds its condition broken, and so does everything that a former
 * holder of the cell still has under way, since a takeover writes all lanes.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { Commit, Write } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import { endOf, writesOf } from "./job_writes.ts";
import {
  laneKey,
  type LaneRecord,
  laneRecordOf,
  LANES,
} from "./lane_record.ts";
import type { CellStore } from "./ports.ts";
import { PROGRESS_PREFIX } from "./records.ts";

/** Changes gather for so long before they are written, milliseconds: a fifth of the wait that a human notices. */
const GATHER_MS = 20;
/** Most writes of jobs in a transaction; the platform's limit is 32 entries, and the lane takes two. */
const MAX_WRITES = 29;
/** Delay before a transaction is sent again that was refused or lost, milliseconds. */
const RETRY_MS = 60;

/** What became of a job's write. */
export type Saved = "saved" | "deposed";

interface Pending {
  readonly job: Job;
  submission: boolean;
  readonly waiters: ((saved: Saved) => void)[];
}

interface Lane {
  readonly key: string;
  revision: number;
  sequence: number;
  readonly dirty: Map<string, Pending>;
  readonly forgotten: string[];
  busy: boolean;
  /** Since when the transaction under way has not got through. */
  stuckSinceMs: number | undefined;
}

interface Batch {
  readonly writes: readonly Write[];
  readonly pending: readonly Pending[];
  readonly ended: readonly EndedJob[];
  readonly forgotten: readonly string[];
}

/** What the log needs. */
export interface JobLogOptions {
  readonly cell: string;
  readonly fence: number;
  /** Revision at which the takeover wrote the lanes. */
  readonly revision: number;
  readonly store: CellStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Another holder has written the lanes. */
  readonly onDeposed: (why: string) => void;
  /** A transaction went through: the store says that this holder is the last. */
  readonly onConfirmed: (sentMs: number) => void;
  /** A job whose end the store holds. */
  readonly onEnded: (ended: EndedJob) => void;
}

/** The writer of one holder's jobs. */
export class JobLog {
  readonly #options: JobLogOptions;
  readonly #lanes: readonly Lane[];
  #closed = false;

  constructor(options: JobLogOptions) {
    this.#options = options;
    this.#lanes = Array.from({ length: LANES }, (_, lane) => ({
      key: laneKey(options.cell, lane),
      revision: options.revision,
      sequence: 0,
      dirty: new Map(),
      forgotten: [],
      busy: false,
      stuckSinceMs: undefined,
    }));
  }

  /** Writes a job as it is at the next commit; resolves once the store holds that. */
  save(job: Job, { submission = false } = {}): Promise<Saved> {
    if (this.#closed) return Promise.resolve("deposed");
    const lane = this.#laneOf(job.id);
    const pending = lane.dirty.get(job.id) ??
      { job, submission: false, waiters: [] };
    pending.submission ||= submission;
    lane.dirty.set(job.id, pending);
    const saved = new Promise<Saved>((resolve) =>
      pending.waiters.push(resolve)
    );
    this.#schedule(lane);
    return saved;
  }

  /** Takes back a job that no transaction has carried yet; `false` if one may have. */
  withdraw(job: Job): boolean {
    return this.#laneOf(job.id).dirty.delete(job.id);
  }

  /** Removes the note of a job's end. */
  forget(id: string): void {
    const lane = this.#laneOf(id);
    lane.forgotten.push(id);
    this.#schedule(lane);
  }

  /** Longest time for which a transaction has not got through, milliseconds. */
  stuckMs(): number {
    const now = this.#options.clock.monotonic();
    return Math.max(
      ...this.#lanes.map((lane) => now - (lane.stuckSinceMs ?? now)),
    );
  }

  /** Resolves once nothing waits to be written, or after `timeoutMs`. */
  async drained(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const end = clock.monotonic() + timeoutMs;
    const idle = () =>
      this.#lanes.every((lane) => !lane.busy && lane.dirty.size === 0);
    while (!idle() && !this.#closed && clock.monotonic() < end) {
      await new Promise<void>((resolve) => clock.after(GATHER_MS, resolve));
    }
  }

  /** Stops writing; whoever waits is told that the holder is deposed. */
  close(): void {
    this.#closed = true;
    for (const lane of this.#lanes) {
      for (const pending of lane.dirty.values()) settle(pending, "deposed");
      lane.dirty.clear();
    }
  }

  #laneOf(id: string): Lane {
    // Ids are hexadecimal and random; their last digit spreads them evenly.
    const digit = parseInt(id.slice(-1), 16) || 0;
    return this.#lanes[digit % LANES]!;
  }

  #schedule(lane: Lane, delayMs = GATHER_MS): void {
    if (lane.busy || this.#closed) return;
    lane.busy = true;
    this.#options.clock.after(delayMs, () => {
      // A lane that got stuck goes on trying, or nobody would notice the store's return.
      lane.busy = hasWork(lane) || lane.stuckSinceMs !== undefined;
      if (!lane.busy) return;
      this.#write(lane).catch((error) =>
        this.#options.log.error("joblog.failed", { reason: String(error) })
      );
    });
  }

  async #write(lane: Lane): Promise<void> {
    const batch = this.#collect(lane);
    const sequence = lane.sequence + 1;
    const record: LaneRecord = { fence: this.#options.fence, sequence };
    const writes: readonly Write[] = [
      { type: "put", key: lane.key, value: JSON.stringify(record) },
      ...batch.writes,
    ];
    const fate = await this.#persist(lane, { writes, sequence });
    lane.busy = false;
    switch (fate.type) {
      case "written":
        lane.revision = fate.revision;
        lane.sequence = sequence;
        for (const pending of batch.pending) settle(pending, "saved");
        for (const ended of batch.ended) this.#options.onEnded(ended);
        break;
      case "untouched":
        this.#putBack(lane, batch);
        break;
      case "deposed":
        for (const pending of batch.pending) settle(pending, "deposed");
        return;
    }
    if (fate.type === "untouched") this.#schedule(lane, RETRY_MS);
    else if (hasWork(lane)) this.#schedule(lane);
  }

  /** Lets jobs wait again that no transaction has carried. */
  #putBack(lane: Lane, batch: Batch): void {
    lane.forgotten.push(...batch.forgotten);
    for (const pending of batch.pending) {
      const newer = lane.dirty.get(pending.job.id);
      if (newer === undefined) lane.dirty.set(pending.job.id, pending);
      else {
        newer.submission ||= pending.submission;
        newer.waiters.push(...pending.waiters);
      }
    }
  }

  #collect(lane: Lane): Batch {
    const writes: Write[] = [];
    const pending: Pending[] = [];
    const ended: EndedJob[] = [];
    for (const [id, entry] of lane.dirty) {
      if (writes.length + 2 > MAX_WRITES) break;
      lane.dirty.delete(id);
      pending.push(entry);
      const end = endOf(entry.job, this.#options.clock.now().getTime());
      if (end !== undefined) ended.push(end);
      const { submission } = entry;
      writes.push(...writesOf(entry.job, { submission, end }));
    }
    const room = MAX_WRITES - writes.length;
    const forgotten = lane.forgotten.splice(0, room);
    for (const id of forgotten) {
      writes.push({ type: "delete", key: PROGRESS_PREFIX + id });
    }
    return { writes, pending, ended, forgotten };
  }

  /**
   * Sends a transaction until its fate is known. One whose answer was lost is
   * repeated as it is; one that was certainly not carried out is given up.
   */
  async #persist(
    lane: Lane,
    { writes, sequence }: {
      readonly writes: readonly Write[];
      readonly sequence: number;
    },
  ): Promise<Fate> {
    const { store, clock, metrics, onConfirmed, onDeposed } = this.#options;
    const condition = { key: lane.key, revision: lane.revision };
    const startedMs = clock.monotonic();
    let lost = false;
    while (!this.#closed) {
      const sentMs = clock.monotonic();
      const result = await store.commit([condition], writes);
      if (this.#closed) break;
      if (result.isErr()) {
        this.#refused(lane, { failure: result.error, startedMs });
        lost ||= result.error.type === "storeAnswerLost";
        if (!lost) return { type: "untouched" };
        await sleep(clock, RETRY_MS);
        continue;
      }
      const fate = this.#fateOf(result.value, { lane, sequence });
      if (fate.type === "deposed") onDeposed("another holder has the lane");
      else {
        lane.stuckSinceMs = undefined;
        metrics.observe("commit_ms", clock.monotonic() - startedMs);
        onConfirmed(sentMs);
      }
      return fate;
    }
    return { type: "deposed" };
  }

  #fateOf(
    commit: Commit,
    { lane, sequence }: { readonly lane: Lane; readonly sequence: number },
  ): Fate {
    if (commit.type === "committed") {
      return { type: "written", revision: commit.revision };
    }
    const found = commit.entries?.find((entry) => entry.key === lane.key);
    const record = found && laneRecordOf(found);
    if (found === undefined || record === undefined) return { type: "deposed" };
    if (record.fence !== this.#options.fence) return { type: "deposed" };
    // An earlier sending got through and its answer was lost.
    if (record.sequence === sequence) {
      return { type: "written", revision: found.revision };
    }
    return { type: "deposed" };
  }

  #refused(
    lane: Lane,
    { failure, startedMs }: {
      readonly failure: StoreFailure;
      readonly startedMs: number;
    },
  ): void {
    lane.stuckSinceMs ??= startedMs;
    const { log, clock, fence } = this.#options;
    log.warn("joblog.retry", {
      lane: lane.key,
      fence,
      failure: failure.type,
      reason: failure.message,
      stuckMs: Math.round(clock.monotonic() - startedMs),
    });
  }
}

/** What became of a transaction. */
type Fate =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "untouched" }
  | { readonly type: "deposed" };

function hasWork(lane: Lane): boolean {
  return lane.dirty.size > 0 || lane.forgotten.length > 0;
}

function settle(pending: Pending, saved: Saved): void {
  for (const waiter of pending.waiters) waiter(saved);
}
