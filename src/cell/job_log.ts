/**
 * Writes changes of jobs to the store, several jobs in one transaction (group
 * commit).
 *
 * Each transaction has two kinds of conditions:
 *
 * - The leader record is unchanged. After a change of leader, transactions of
 *   the former leader that are still in flight fail.
 * - The progress record of each job in the transaction is unchanged since its
 *   last write. An abandoned transaction that the store executes late fails.
 *
 * For this reason a job has at most one transaction in flight. Transactions of
 * different jobs are independent of each other.
 *
 * While a response is overdue, only a probe without jobs is sent: a submission
 * can't be withdrawn any more once a transaction that contains it is in flight.
 *
 * @module
 */
import { sleep, type Timer } from "../clock.ts";
import type { Condition } from "../ports/store.ts";
import { endTermOnFailure } from "./context.ts";
import { confirmationKey, leaderRecordKey } from "./leader_record.ts";
import {
  type TransactionOutcome,
  TransactionSender,
  type TransactionSenderOptions,
} from "./transaction_sender.ts";
import type { EndedJob, Job } from "./job.ts";
import {
  packBatches,
  type PendingWrite,
  probeBatch,
  progressKey,
  type RecordedChange,
  resolveWaiters,
  type SaveResult,
  type TransactionBatch,
} from "./transaction_batch.ts";

/** Changes are collected for this time before they are written; a fifth of the delay that a human notices. */
const BATCH_DELAY_MS = 20;
/** How often to check for unwritten changes; about the duration of a write to a nearby store. */
const WRITE_CHECK_INTERVAL_MS = 5;
/** Delay before the write of a job is retried, and between probes of an unresponsive store. */
const RETRY_DELAY_MS = 60;
/** Transactions in flight at once: half a second's worth at the highest rate that batching permits. */
export const MAX_IN_FLIGHT = 96;
/** A completion waits for further completions of its job for this fraction of the typical transaction time. */
const COMPLETION_DELAY_FACTOR = 0.3;
/** Upper limit of that wait; the worker is not polled meanwhile. */
const MAX_COMPLETION_DELAY_MS = 100;

/** Statistics of the transactions since the previous call of `takeStats`. */
export interface JobLogStats {
  /** Transactions that the store committed. */
  readonly commits: number;
  /** Duration of the slowest transaction, including retries, milliseconds. */
  readonly slowestMs: number;
  /** Jobs with changes that wait for a transaction. */
  readonly waiting: number;
}

/** Dependencies and settings of a {@linkcode JobLog}. */
export interface JobLogOptions extends TransactionSenderOptions {
  /** Name of the cell. */
  readonly cell: string;
  /** Store revision of the leader record that started this term. */
  readonly revision: number;
  /** Called once the end of a job is stored. */
  readonly onJobEnded: (ended: EndedJob) => void;
}

/** Writes the jobs of one leader's term. */
export class JobLog {
  readonly #options: JobLogOptions;
  /** The leader record is unchanged since this term began. */
  readonly #termCondition: Condition;
  readonly #sender: TransactionSender;
  readonly #pending = new Map<string, PendingWrite>();
  /** Ids of ended jobs whose record is to be deleted. */
  readonly #endRecordsToRemove = new Set<string>();
  /** Ids of jobs with a transaction in flight. */
  readonly #inFlight = new Set<string>();
  /** Store revision of each job's progress record, by job id. */
  readonly #revisions = new Map<string, number>();
  #probing = false;
  #timer: Timer | undefined;
  #closed = false;

  constructor(options: JobLogOptions) {
    const { cell, revision } = options;
    this.#options = options;
    this.#termCondition = { key: leaderRecordKey(cell), revision };
    this.#sender = new TransactionSender(options);
  }

  /** Sets the revision of a progress record that was written in an earlier term. */
  setRevision(id: string, revision: number): void {
    this.#revisions.set(id, revision);
  }

  /**
   * Schedules a write of a job's current state; resolves once it is stored.
   * With `withinMs` the write may be delayed by up to that many milliseconds
   * so that the job's next change shares its transaction.
   */
  save(
    job: Job,
    { submission = false, withinMs = 0 } = {},
  ): Promise<SaveResult> {
    const change = { type: "job", job } as const;
    return this.#enqueue(job.id, { change, submission, withinMs });
  }

  /** Schedules a write of the end of a job that never arrived; resolves once it is stored. */
  saveEnd(end: EndedJob): Promise<SaveResult> {
    const change = { type: "end", end } as const;
    return this.#enqueue(end.id, { change, submission: false, withinMs: 0 });
  }

  #enqueue(id: string, { change, submission, withinMs }: {
    readonly change: RecordedChange;
    readonly submission: boolean;
    readonly withinMs: number;
  }): Promise<SaveResult> {
    if (this.#closed) return Promise.resolve("deposed");
    const nowMs = this.#options.clock.monotonic();
    const pending = this.#pending.get(id) ?? {
      id,
      change,
      submission: false,
      retryAtMs: 0,
      notBeforeMs: Infinity,
      waiters: [],
    };
    pending.submission ||= submission;
    pending.notBeforeMs = Math.min(pending.notBeforeMs, nowMs + withinMs);
    this.#pending.set(id, pending);
    const saved = new Promise<SaveResult>((resolve) =>
      pending.waiters.push(resolve)
    );
    this.#scheduleFlush();
    return saved;
  }

  /** Withdraws a submission; `false` if the store may have executed a transaction that contains it. */
  withdraw({ id }: Job): boolean {
    // If the pending write does not contain the submission, the submission is
    // already in a transaction that is in flight.
    return this.#pending.get(id)?.submission === true &&
      this.#pending.delete(id);
  }

  /** Schedules the deletion of an ended job's record. */
  removeEndRecord(id: string): void {
    this.#endRecordsToRemove.add(id);
    this.#scheduleFlush();
  }

  /**
   * How long the write of a completion waits for further completions of the
   * same job, milliseconds. A job has one transaction in flight, so with a
   * slow store a second transaction would wait for the first.
   */
  get completionDelayMs(): number {
    return Math.min(
      MAX_COMPLETION_DELAY_MS,
      COMPLETION_DELAY_FACTOR * this.#sender.typicalMs,
    );
  }

  /** Time since the store stopped committing transactions, milliseconds; 0 while it commits them. */
  stuckMs(): number {
    return this.#sender.stuckMs();
  }

  /** Returns the statistics since the previous call and resets them. */
  takeStats(): JobLogStats {
    const { commits, slowestMs } = this.#sender.takeStats();
    return { commits, slowestMs, waiting: this.#pending.size };
  }

  /** Resolves once all changes that are pending now are stored, or after `timeoutMs`; later changes don't extend the wait. */
  async waitForWrites(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const deadlineMs = clock.monotonic() + timeoutMs;
    const unwritten = new Set([...this.#inFlight, ...this.#pending.keys()]);
    while (
      unwritten.size > 0 && !this.#closed && clock.monotonic() < deadlineMs
    ) {
      await sleep(clock, WRITE_CHECK_INTERVAL_MS);
      for (const id of unwritten) {
        if (!this.#inFlight.has(id) && !this.#pending.has(id)) {
          unwritten.delete(id);
        }
      }
    }
  }

  /** Stops writing; pending calls of `save` resolve to `deposed`. */
  close(): void {
    this.#closed = true;
    this.#sender.close();
    this.#timer?.cancel();
    for (const pending of this.#pending.values()) {
      resolveWaiters(pending, "deposed");
    }
    this.#pending.clear();
  }

  #scheduleFlush(delayMs = BATCH_DELAY_MS): void {
    if (this.#closed) return;
    this.#timer ??= this.#options.clock.after(delayMs, () => {
      this.#timer = undefined;
      void endTermOnFailure(this.#options, "job log", () => this.#flush());
    });
  }

  #flush(): void {
    if (this.#sender.isStoreUnresponsive) {
      this.#probe();
      this.#scheduleFlush(RETRY_DELAY_MS);
      return;
    }
    const { clock } = this.#options;
    const isIdle = (id: string) => !this.#inFlight.has(id);
    const idle = [...this.#pending.values()].filter(({ id }) => isIdle(id));
    const nowMs = clock.monotonic();
    const due = idle.filter(({ retryAtMs, notBeforeMs }) =>
      retryAtMs <= nowMs && notBeforeMs <= nowMs
    );
    if (due.length < idle.length) this.#scheduleFlush();
    const batches = packBatches(
      {
        pending: due,
        endRecordsToRemove: [...this.#endRecordsToRemove].filter(isIdle),
        revisionOf: (id) => this.#revisions.get(id) ?? 0,
      },
      this.#termCondition,
      clock.now().getTime(),
    );
    const slots = Math.max(0, MAX_IN_FLIGHT - this.#sender.inFlight);
    for (const batch of batches.slice(0, slots)) {
      this.#markInFlight(batch);
      void this.#send(batch);
    }
  }

  /** Sends a transaction without jobs to check whether the store responds again. */
  #probe(): void {
    if (this.#probing) return;
    this.#probing = true;
    const { cell, fence } = this.#options;
    const key = confirmationKey(cell);
    const batch = probeBatch(this.#termCondition, {
      type: "put",
      key,
      value: String(fence),
    });
    void this.#send(batch).then(() => {
      this.#probing = false;
      this.#timer?.cancel();
      this.#timer = undefined;
      this.#scheduleFlush(0);
    });
  }

  #markInFlight(
    { pending, endRecordsToRemove }: TransactionBatch,
  ): void {
    for (const { id } of pending) {
      this.#pending.delete(id);
      this.#inFlight.add(id);
    }
    for (const id of endRecordsToRemove) {
      this.#endRecordsToRemove.delete(id);
      this.#inFlight.add(id);
    }
  }

  async #send(batch: TransactionBatch): Promise<void> {
    await endTermOnFailure(
      this.#options,
      "job log",
      async () => this.#applyOutcome(batch, await this.#sender.send(batch)),
    );
  }

  #applyOutcome(batch: TransactionBatch, outcome: TransactionOutcome): void {
    for (const { id } of batch.pending) this.#inFlight.delete(id);
    for (const id of batch.endRecordsToRemove) this.#inFlight.delete(id);
    switch (outcome.type) {
      case "written":
        this.#recordWritten(batch, outcome.revision);
        break;
      case "untouched":
        this.#requeue(batch);
        break;
      case "deposed":
        for (const pending of batch.pending) resolveWaiters(pending, "deposed");
        return;
    }
    if (this.#pending.size > 0 || this.#endRecordsToRemove.size > 0) {
      this.#scheduleFlush();
    }
  }

  #recordWritten(
    { pending, endRecordsToRemove, writes, ended }: TransactionBatch,
    revision: number,
  ) {
    const putKeys = new Set(
      writes.flatMap((write) => write.type === "put" ? [write.key] : []),
    );
    for (const { id } of pending) {
      if (putKeys.has(progressKey(id))) this.#revisions.set(id, revision);
    }
    for (const id of endRecordsToRemove) this.#revisions.delete(id);
    for (const entry of pending) resolveWaiters(entry, "saved");
    for (const end of ended) this.#options.onJobEnded(end);
  }

  /** Queues the jobs of a transaction that was not executed for a retry. */
  #requeue({ pending, endRecordsToRemove }: TransactionBatch): void {
    for (const id of endRecordsToRemove) this.#endRecordsToRemove.add(id);
    const retryAtMs = this.#options.clock.monotonic() + RETRY_DELAY_MS;
    for (const entry of pending) {
      entry.retryAtMs = retryAtMs;
      const newer = this.#pending.get(entry.id);
      if (newer === undefined) this.#pending.set(entry.id, entry);
      else {
        newer.submission ||= entry.submission;
        newer.retryAtMs = retryAtMs;
        newer.notBeforeMs = 0;
        newer.waiters.push(...entry.waiters);
      }
    }
  }
}
