/**
 * Writes jobs to the store in group commits.
 *
 * Every transaction is conditional on the record of the hold, so nothing that a
 * former holder still has under way takes effect after a takeover, and on the
 * progress of each of its jobs being as it was last written. So a transaction
 * that was given up and is carried out late finds its condition broken, a job
 * has one under way at a time, and different jobs do not wait for each other.
 * While an answer is overdue nothing is sent but a transaction without jobs:
 * what is under way when the store falls silent can no longer be taken back.
 *
 * @module
 */
import { sleep, type Timer } from "../clock.ts";
import type { Condition } from "../ports/store.ts";
import { aliveKey, recordKey } from "./cell_record.ts";
import { Commits, type CommitsOptions, type Fate } from "./commits.ts";
import type { EndedJob, Job } from "./job.ts";
import {
  type Batch,
  packBatches,
  type Pending,
  probeOf,
  progressKey,
  type Saved,
  settle,
} from "./write_batch.ts";

/** Changes gather for so long before they are written, milliseconds: a fifth of the wait that a human notices. */
const GATHER_MS = 20;
/** Whether all is written is looked at this often, milliseconds: a write of the store nearby. */
const DRAIN_LOOK_MS = 5;
/** Delay before a job is written again that no transaction carried, and between looks for a store that is away, milliseconds. */
const RETRY_MS = 60;
/** Most transactions under way: those of half a second at the largest rate that gathering gives. */
export const MAX_UNDER_WAY = 96;
/** Part of the usual time of a transaction for which an end waits for the next of its job. */
const GATHER_ENDS_PART = 0.3;
/** Longest such wait, milliseconds: the worker is not asked meanwhile. */
const GATHER_ENDS_MS = 100;

/** What the log has done since it was last asked. */
export interface JobLogWork {
  readonly commits: number;
  /** Longest time of one of them, milliseconds. */
  readonly slowestMs: number;
  /** Jobs that wait for their write. */
  readonly waiting: number;
}

/** What the log needs. */
export interface JobLogOptions extends CommitsOptions {
  readonly cell: string;
  /** Revision of the record of the hold. */
  readonly revision: number;
  /** A job whose end the store holds. */
  readonly onEnded: (ended: EndedJob) => void;
}

/** The writer of one holder's jobs. */
export class JobLog {
  readonly #options: JobLogOptions;
  readonly #hold: Condition;
  readonly #commits: Commits;
  readonly #pending = new Map<string, Pending>();
  readonly #forgotten = new Set<string>();
  /** Jobs with a transaction under way. */
  readonly #busy = new Set<string>();
  /** Revisions of the progress of jobs. */
  readonly #revisions = new Map<string, number>();
  #probing = false;
  #timer: Timer | undefined;
  #closed = false;

  constructor(options: JobLogOptions) {
    const { cell, revision } = options;
    this.#options = options;
    this.#hold = { key: recordKey(cell), revision };
    this.#commits = new Commits(options);
  }

  /** Takes note of a job's progress that a former holder wrote. */
  know(id: string, revision: number): void {
    this.#revisions.set(id, revision);
  }

  /**
   * Writes a job as it is at the next commit; resolves once the store holds
   * that. With `withinMs` it waits so long for the job's next change, milliseconds.
   */
  save(job: Job, { submission = false, withinMs = 0 } = {}): Promise<Saved> {
    if (this.#closed) return Promise.resolve("deposed");
    const nowMs = this.#options.clock.monotonic();
    const pending = this.#pending.get(job.id) ??
      { job, submission: false, retryAtMs: 0, notBeforeMs: 0, waiters: [] };
    pending.submission ||= submission;
    pending.notBeforeMs = withinMs === 0 ? 0 : nowMs + withinMs;
    this.#pending.set(job.id, pending);
    const saved = new Promise<Saved>((resolve) =>
      pending.waiters.push(resolve)
    );
    this.#schedule();
    return saved;
  }

  /** Takes back a submission that no transaction has carried yet; `false` if one may have. */
  withdraw({ id }: Job): boolean {
    // Without its submission it is a later change: the submission is under way.
    return this.#pending.get(id)?.submission === true &&
      this.#pending.delete(id);
  }

  /** Removes the note of a job's end. */
  forget(id: string): void {
    this.#forgotten.add(id);
    this.#schedule();
  }

  /** How long the end of a run waits for others of its job, milliseconds: a slow store makes the second wait for the first. */
  get gatherEndsMs(): number {
    return Math.min(GATHER_ENDS_MS, GATHER_ENDS_PART * this.#commits.usualMs);
  }

  /** Time for which nothing has got through, milliseconds. */
  stuckMs(): number {
    return this.#commits.stuckMs();
  }

  /** Tells and forgets what was done. */
  takeWork(): JobLogWork {
    const { answered, slowestMs } = this.#commits.takeWork();
    return { commits: answered, slowestMs, waiting: this.#pending.size };
  }

  /** Resolves once all that waits now is written, or after `timeoutMs`. */
  async drained(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const end = clock.monotonic() + timeoutMs;
    const waiting = new Set([...this.#busy, ...this.#pending.keys()]);
    while (waiting.size > 0 && !this.#closed && clock.monotonic() < end) {
      await sleep(clock, DRAIN_LOOK_MS);
      for (const id of waiting) {
        if (!this.#busy.has(id) && !this.#pending.has(id)) waiting.delete(id);
      }
    }
  }

  /** Stops writing; whoever waits is told that the holder is deposed. */
  close(): void {
    this.#closed = true;
    this.#commits.close();
    this.#timer?.cancel();
    for (const pending of this.#pending.values()) settle(pending, "deposed");
    this.#pending.clear();
  }

  #schedule(delayMs = GATHER_MS): void {
    if (this.#closed) return;
    this.#timer ??= this.#options.clock.after(delayMs, () => {
      this.#timer = undefined;
      this.#flush();
    });
  }

  #flush(): void {
    if (this.#commits.isDoubtful) {
      this.#probe();
      this.#schedule(RETRY_MS);
      return;
    }
    const { clock } = this.#options;
    const isFree = (id: string) => !this.#busy.has(id);
    const free = [...this.#pending.values()].filter(({ job }) =>
      isFree(job.id)
    );
    const nowMs = clock.monotonic();
    const due = free.filter(({ retryAtMs, notBeforeMs }) =>
      retryAtMs <= nowMs && notBeforeMs <= nowMs
    );
    if (due.length < free.length) this.#schedule();
    const batches = packBatches(
      {
        pending: due,
        forgotten: [...this.#forgotten].filter(isFree),
        revisionOf: (id) => this.#revisions.get(id) ?? 0,
      },
      this.#hold,
      clock.now().getTime(),
    );
    const open = Math.max(0, MAX_UNDER_WAY - this.#commits.underWay);
    for (const batch of batches.slice(0, open)) {
      this.#take(batch);
      void this.#send(batch);
    }
  }

  /** Finds out whether the store is there. */
  #probe(): void {
    if (this.#probing) return;
    this.#probing = true;
    const { cell, fence } = this.#options;
    const key = aliveKey(cell);
    const batch = probeOf(this.#hold, {
      type: "put",
      key,
      value: String(fence),
    });
    void this.#send(batch).then(() => {
      this.#probing = false;
      this.#timer?.cancel();
      this.#timer = undefined;
      this.#schedule(0);
    });
  }

  #take({ pending, forgotten }: Batch): void {
    for (const { job } of pending) {
      this.#pending.delete(job.id);
      this.#busy.add(job.id);
    }
    for (const id of forgotten) {
      this.#forgotten.delete(id);
      this.#busy.add(id);
    }
  }

  async #send(batch: Batch): Promise<void> {
    try {
      this.#settle(batch, await this.#commits.send(batch));
    } catch (error) {
      this.#options.log.error("joblog.failed", { reason: String(error) });
    }
  }

  #settle(batch: Batch, fate: Fate): void {
    for (const { job } of batch.pending) this.#busy.delete(job.id);
    for (const id of batch.forgotten) this.#busy.delete(id);
    switch (fate.type) {
      case "written":
        this.#written(batch, fate.revision);
        break;
      case "untouched":
        this.#putBack(batch);
        break;
      case "deposed":
        for (const pending of batch.pending) settle(pending, "deposed");
        return;
    }
    if (this.#pending.size > 0 || this.#forgotten.size > 0) this.#schedule();
  }

  #written({ pending, forgotten, writes, ended }: Batch, revision: number) {
    const put = new Set(
      writes.flatMap((write) => write.type === "put" ? [write.key] : []),
    );
    for (const { job: { id } } of pending) {
      if (put.has(progressKey(id))) this.#revisions.set(id, revision);
    }
    for (const id of forgotten) this.#revisions.delete(id);
    for (const entry of pending) settle(entry, "saved");
    for (const end of ended) this.#options.onEnded(end);
  }

  /** Lets jobs wait again that no transaction has carried. */
  #putBack({ pending, forgotten }: Batch): void {
    for (const id of forgotten) this.#forgotten.add(id);
    const retryAtMs = this.#options.clock.monotonic() + RETRY_MS;
    for (const entry of pending) {
      entry.retryAtMs = retryAtMs;
      const newer = this.#pending.get(entry.job.id);
      if (newer === undefined) this.#pending.set(entry.job.id, entry);
      else {
        newer.submission ||= entry.submission;
        newer.retryAtMs = retryAtMs;
        newer.notBeforeMs = 0;
        newer.waiters.push(...entry.waiters);
      }
    }
  }
}
