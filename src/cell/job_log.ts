/**
 * Writes jobs to the store in group commits.
 *
 * Every transaction is conditional on the last revision of its lanes and
 * writes these lanes anew. So an order of writes that was given up and is
 * carried out late finds its condition broken, and so does everything that a
 * former holder of the cell still has under way, since a takeover writes all
 * lanes. While the store is quick the lanes share a transaction; while it is
 * slow each has one under way; while an answer is overdue nothing that could
 * still be taken back is sent, but one empty transaction.
 *
 * @module
 */
import { type Clock, sleep, type Timer } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { Write } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import { AnswerWatch } from "./answer_watch.ts";
import { type Fate, fateOf } from "./lane_fate.ts";
import { laneKey, type LaneRecord, LANES } from "./lane_record.ts";
import type { CellStore } from "./ports.ts";
import {
  type Batch,
  hasWork,
  type Lane,
  newLane,
  packLanes,
  probeOf,
  putBack,
  type Saved,
  settle,
} from "./write_lane.ts";

/** Changes gather for so long before they are written, milliseconds: a fifth of the wait that a human notices. */
const GATHER_MS = 20;
/** Delay before a transaction is sent again that was refused or lost, milliseconds. */
const RETRY_MS = 60;

/** What the log has done since it was last asked. */
export interface JobLogWork {
  readonly commits: number;
  /** Longest time of one of them, milliseconds. */
  readonly slowestMs: number;
  /** Jobs that wait for their write. */
  readonly waiting: number;
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
  readonly #watch: AnswerWatch;
  #probing = false;
  #timer: Timer | undefined;
  #closed = false;
  #commits = 0;
  #slowestMs = 0;

  constructor(options: JobLogOptions) {
    this.#options = options;
    this.#watch = new AnswerWatch(options.clock);
    this.#lanes = Array.from(
      { length: LANES },
      (_, lane) => newLane(laneKey(options.cell, lane), options.revision),
    );
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
    this.#schedule();
    return saved;
  }

  /** Takes back a submission that no transaction has carried yet; `false` if one may have. */
  withdraw(job: Job): boolean {
    const { dirty } = this.#laneOf(job.id);
    // Without its submission it is a later change: the submission is under way.
    return dirty.get(job.id)?.submission === true && dirty.delete(job.id);
  }

  /** Removes the note of a job's end. */
  forget(id: string): void {
    this.#laneOf(id).forgotten.push(id);
    this.#schedule();
  }

  /** Longest time for which a transaction has not got through, milliseconds. */
  stuckMs(): number {
    const now = this.#options.clock.monotonic();
    return Math.max(
      ...this.#lanes.map((lane) => now - (lane.stuckSinceMs ?? now)),
    );
  }

  /** Tells and forgets what was done. */
  takeWork(): JobLogWork {
    const work = {
      commits: this.#commits,
      slowestMs: this.#slowestMs,
      waiting: this.#lanes.reduce((sum, lane) => sum + lane.dirty.size, 0),
    };
    this.#commits = 0;
    this.#slowestMs = 0;
    return work;
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
    this.#timer?.cancel();
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

  #schedule(delayMs = GATHER_MS): void {
    if (this.#closed) return;
    this.#timer ??= this.#options.clock.after(delayMs, () => {
      this.#timer = undefined;
      this.#flush();
    });
  }

  /** Writes what waits in lanes without a transaction under way. */
  #flush(): void {
    const { clock } = this.#options;
    const nowMs = clock.monotonic();
    // A lane that got stuck goes on trying, or nobody would notice the store's return.
    const wanted = this.#lanes.filter((lane) =>
      !lane.busy && (hasWork(lane) || lane.stuckSinceMs !== undefined)
    );
    const due = wanted.filter((lane) => lane.retryAtMs <= nowMs);
    if (due.length < wanted.length) this.#schedule(RETRY_MS);
    if (this.#watch.isOverdue) {
      this.#probe(due);
      return;
    }
    for (const group of packLanes(due, clock.now().getTime())) {
      void this.#send(group);
    }
  }

  /** Finds out by one empty transaction whether the store is there. */
  #probe(due: readonly Lane[]): void {
    this.#schedule();
    const [lane] = due;
    if (lane === undefined || this.#probing) return;
    this.#probing = true;
    void this.#send([probeOf(lane)]).then(() => this.#probing = false);
  }

  async #send(group: readonly Batch[]): Promise<void> {
    for (const { lane } of group) lane.busy = true;
    const sent = this.#watch.sent();
    try {
      this.#settle(group, await this.#persist(group));
    } catch (error) {
      this.#options.log.error("joblog.failed", { reason: String(error) });
    } finally {
      this.#watch.ended(sent);
    }
  }

  #settle(group: readonly Batch[], fate: Fate): void {
    const { clock } = this.#options;
    for (const batch of group) {
      const { lane } = batch;
      lane.busy = false;
      switch (fate.type) {
        case "written":
          lane.revision = fate.revision;
          lane.sequence++;
          for (const pending of batch.pending) settle(pending, "saved");
          for (const ended of batch.ended) this.#options.onEnded(ended);
          break;
        case "untouched":
          putBack(batch);
          lane.retryAtMs = clock.monotonic() + RETRY_MS;
          break;
        case "deposed":
          for (const pending of batch.pending) settle(pending, "deposed");
      }
    }
    if (fate.type === "untouched") this.#schedule(RETRY_MS);
    else if (this.#lanes.some((lane) => !lane.busy && hasWork(lane))) {
      this.#schedule();
    }
  }

  /**
   * Sends a transaction until its fate is known. One whose answer was lost is
   * repeated as it is; one that was certainly not carried out is given up.
   */
  async #persist(group: readonly Batch[]): Promise<Fate> {
    const { store, clock, fence } = this.#options;
    const conditions = group.map(({ lane }) => ({
      key: lane.key,
      revision: lane.revision,
    }));
    const writes = group.flatMap((batch) => this.#writesOf(batch));
    const startedMs = clock.monotonic();
    let lost = false;
    while (!this.#closed) {
      const sentMs = clock.monotonic();
      const result = await store.commit(conditions, writes);
      if (this.#closed) break;
      if (result.isOk()) {
        const fate = fateOf(result.value, group, fence);
        this.#answered(group, { fate, startedMs, sentMs });
        return fate;
      }
      this.#refused(group, { failure: result.error, startedMs });
      lost ||= result.error.type === "storeAnswerLost";
      if (!lost) return { type: "untouched" };
      await sleep(clock, RETRY_MS);
    }
    return { type: "deposed" };
  }

  #writesOf({ lane, writes }: Batch): readonly Write[] {
    const record: LaneRecord = {
      fence: this.#options.fence,
      sequence: lane.sequence + 1,
    };
    const value = JSON.stringify(record);
    return [{ type: "put", key: lane.key, value }, ...writes];
  }

  #answered(
    group: readonly Batch[],
    { fate, startedMs, sentMs }: {
      readonly fate: Fate;
      readonly startedMs: number;
      readonly sentMs: number;
    },
  ): void {
    const { clock, metrics, onConfirmed, onDeposed } = this.#options;
    if (fate.type === "deposed") return onDeposed("another holder has a lane");
    for (const { lane } of group) lane.stuckSinceMs = undefined;
    const tookMs = clock.monotonic() - startedMs;
    this.#commits++;
    this.#slowestMs = Math.max(this.#slowestMs, tookMs);
    this.#watch.answered(sentMs);
    metrics.observe("commit_ms", tookMs);
    onConfirmed(sentMs);
  }

  #refused(
    group: readonly Batch[],
    { failure, startedMs }: {
      readonly failure: StoreFailure;
      readonly startedMs: number;
    },
  ): void {
    for (const { lane } of group) lane.stuckSinceMs ??= startedMs;
    const { log, clock, fence } = this.#options;
    log.warn("joblog.retry", {
      lanes: group.map(({ lane }) => lane.key).join(","),
      fence,
      failure: failure.type,
      reason: failure.message,
      stuckMs: Math.round(clock.monotonic() - startedMs),
    });
  }
}
