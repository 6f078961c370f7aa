/**
 * A journal segment that this instance owns: group commit of appended records
 * with one write in flight, and compaction of the oldest batches.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { Store } from "../ports/store.ts";
import { type Append, AppendQueue } from "./append_queue.ts";
import {
  type AppendFailure,
  journalFull,
  type OpenFailure,
  recordsTooLarge,
  segmentClosed,
  segmentLost,
  storeAway,
} from "./failures.ts";
import { FencedWriter } from "./fenced_writer.ts";
import { batchKey } from "./layout.ts";
import { type JournalRecord, recordBytes } from "./records.ts";
import {
  type Claim,
  type ClaimedSegment,
  claimSegment,
  type ReplayedBatch,
} from "./replay.ts";
import { composeChange, firstRequiredBatch } from "./segment_change.ts";
import { StoredBatches } from "./stored_batches.ts";
import type { WorkTable } from "./work_table.ts";
import type { WriteBudget } from "./write_budget.ts";

/** Limits and delays of a segment. */
export interface SegmentLimits {
  /** How long the first record waits for others to share its batch, in milliseconds. */
  readonly commitDelayMs: number;
  /** Maximum size of a batch, in bytes. */
  readonly maxBatchBytes: number;
  /** Maximum total size of queued records, in bytes. */
  readonly maxQueueBytes: number;
  /** Delay before the next call to an unreachable store, in milliseconds. */
  readonly retryDelayMs: number;
  /** Number of stored batches above which compaction starts. */
  readonly maxBatches: number;
  /** Compaction starts when the stored bytes exceed twice the live bytes plus this number. */
  readonly maxDeadBytes: number;
}

/** Limits for a store with values of up to 1 MB and a few hundred writes per second. */
export const SEGMENT_LIMITS: SegmentLimits = {
  commitDelayMs: 10,
  maxBatchBytes: 700_000,
  maxQueueBytes: 8_000_000,
  retryDelayMs: 500,
  maxBatches: 256,
  maxDeadBytes: 1_000_000,
};

/** Maximum number of batches that one compaction removes. */
const MAX_COMPACTED_BATCHES = 64;
/** Bytes replayed before other work of the process gets a turn. */
const REPLAY_BYTES_PER_TURN = 1_000_000;

/** Dependencies and settings of a segment. */
export interface SegmentOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly budget: WriteBudget;
  readonly claim: Claim;
  readonly limits: SegmentLimits;
  /** Table that committed records are applied to before their append resolves. */
  readonly table: WorkTable;
  /** Called once when the segment turns out to have another owner. */
  readonly onLost: () => void;
}

/** A claimed segment, to which this instance may append. */
export class Segment {
  readonly #options: SegmentOptions;
  readonly #writer: FencedWriter;
  readonly #stored = new StoredBatches();
  readonly #queue = new AppendQueue();
  #sequence: number;
  #unreachableUntilMs = 0;
  #closed = false;
  /** The running write loop or removal; absent while the segment is idle. */
  #activity: Promise<void> | undefined;

  /** Claims a segment and replays its records into the table. */
  static open(options: SegmentOptions): ResultAsync<Segment, OpenFailure> {
    return claimSegment(options.store, options.claim)
      .map(async (claimed) => {
        const segment = new Segment(options, claimed);
        await segment.#replay(claimed.batches);
        return segment;
      });
  }

  private constructor(options: SegmentOptions, claimed: ClaimedSegment) {
    this.#options = options;
    this.#sequence = claimed.head.sequence;
    this.#writer = new FencedWriter({
      store: options.store,
      clock: options.clock,
      claim: options.claim,
      retryMs: options.limits.retryDelayMs,
      onUnresolved: () => this.#backOff(),
    }, claimed);
  }

  /** Applies the batches read, with pauses for other work of the process. */
  async #replay(batches: readonly ReplayedBatch[]): Promise<void> {
    let bytes = 0;
    for (const batch of batches) {
      this.#applyBatch(batch.number, batch.records, batch.bytes);
      bytes += batch.bytes;
      if (bytes < REPLAY_BYTES_PER_TURN) continue;
      bytes = 0;
      await setImmediate();
    }
  }

  /** Bytes of queued records that are not being written yet. */
  get queuedBytes(): number {
    return this.#queue.bytes;
  }

  /** Number of batches in the store. */
  get batches(): number {
    return this.#stored.count;
  }

  /** Milliseconds until the unreachable store is called again; 0 while it is reachable. */
  get unreachableMs(): number {
    return Math.max(
      0,
      this.#unreachableUntilMs - this.#options.clock.monotonic(),
    );
  }

  /** Next sequence number, unique within the segment. */
  takeSequence(): number {
    return this.#sequence++;
  }

  /** Appends the records in one batch; resolves once they are written and applied. */
  append(records: readonly JournalRecord[]): ResultAsync<void, AppendFailure> {
    const bytes = records.reduce((sum, record) => sum + recordBytes(record), 0);
    const rejection = this.#rejectionOf(bytes);
    if (rejection !== undefined) return errAsync(rejection);
    const written = this.#queue.push(records, bytes);
    this.#activity ??= this.#drainQueue();
    return written;
  }

  /** Rejects new records, writes the queued ones, and closes the segment. */
  async close(): Promise<void> {
    this.#closed = true;
    this.#writer.close();
    await this.#activity;
    this.#queue.fail(segmentClosed);
  }

  /** Deletes an empty segment from the store. `false` if it is not empty or the caller has to retry. */
  async retire(): Promise<boolean> {
    const { claim, table } = this.#options;
    if (table.size > 0 || this.#activity !== undefined) return false;
    this.#activity = this.#removeOrCompact(claim);
    await this.#activity;
    return this.#closed;
  }

  async #removeOrCompact(claim: Claim): Promise<void> {
    if (this.#stored.count > MAX_COMPACTED_BATCHES) {
      await this.#compact();
    } else {
      const keys = this.#stored.oldest(MAX_COMPACTED_BATCHES)
        .map((number) => batchKey(claim.segment, number));
      if (await this.#writer.remove(keys)) this.#closed = true;
      if (this.#writer.lost) this.#handleLoss();
    }
    this.#activity = undefined;
    if (this.#closed) this.#queue.fail(segmentClosed);
    else if (this.#queue.length > 0) this.#activity = this.#drainQueue();
  }

  #rejectionOf(bytes: number): AppendFailure | undefined {
    const { limits } = this.#options;
    if (this.#closed) return segmentClosed;
    if (bytes > limits.maxBatchBytes) {
      return recordsTooLarge(limits.maxBatchBytes);
    }
    if (this.unreachableMs > 0) return storeAway(Math.ceil(this.unreachableMs));
    if (this.#queue.bytes + bytes > limits.maxQueueBytes) {
      return journalFull(limits.retryDelayMs);
    }
    return undefined;
  }

  async #drainQueue(): Promise<void> {
    const { clock, limits } = this.#options;
    await sleep(clock, limits.commitDelayMs);
    while (this.#queue.length > 0) {
      await this.#waitForBudget();
      await this.#writeBatch(this.#queue.take(limits.maxBatchBytes));
      if (this.#needsCompaction()) await this.#compact();
    }
    this.#activity = undefined;
  }

  async #waitForBudget(): Promise<void> {
    const { budget, clock } = this.#options;
    for (let waitMs = budget.tryTake(); waitMs > 0; waitMs = budget.tryTake()) {
      await sleep(clock, waitMs);
    }
  }

  async #writeBatch(batch: readonly Append[]): Promise<void> {
    if (batch.length === 0) return;
    const records = batch.flatMap((append) => append.records);
    const result = await this.#commitBatch(records, this.#writer.head.first);
    for (const append of batch) append.resolve(result);
    this.#afterWrite(result);
  }

  /** Writes one batch and deletes those before `first`. */
  async #commitBatch(
    records: readonly JournalRecord[],
    first: number,
  ): Promise<Result<void, AppendFailure>> {
    const { head } = this.#writer;
    const sequence = this.#sequence;
    const next = { records, first, sequence };
    const composed = composeChange(this.#options.claim, head, next);
    const result = await this.#writer.write(composed.change);
    if (result.isErr()) return err(result.error);
    this.#applyBatch(head.next, records, composed.bytes);
    this.#stored.removeBefore(first);
    return ok(undefined);
  }

  #applyBatch(
    number: number,
    records: readonly JournalRecord[],
    bytes: number,
  ): void {
    this.#stored.add(number, bytes);
    for (const record of records) this.#options.table.apply(number, record);
  }

  #needsCompaction(): boolean {
    const { limits, table } = this.#options;
    if (this.#closed || this.unreachableMs > 0 || this.#writer.lost) {
      return false;
    }
    return this.#stored.count > limits.maxBatches ||
      this.#stored.bytes > 2 * table.bytes + limits.maxDeadBytes;
  }

  async #compact(): Promise<void> {
    const { table, limits } = this.#options;
    await this.#waitForBudget();
    const oldest = this.#stored.oldest(MAX_COMPACTED_BATCHES);
    const records = table.snapshots(oldest, limits.maxBatchBytes);
    const first = firstRequiredBatch(table, oldest, records);
    this.#afterWrite(await this.#commitBatch(records, first));
  }

  #afterWrite(result: Result<void, AppendFailure>): void {
    if (result.isErr() && result.error.type === "storeAway") this.#backOff();
    if (this.#writer.lost) this.#handleLoss();
  }

  #backOff(): void {
    const { clock, limits } = this.#options;
    this.#unreachableUntilMs = clock.monotonic() + limits.retryDelayMs;
    this.#queue.fail(storeAway(limits.retryDelayMs));
  }

  #handleLoss(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#queue.fail(segmentLost(this.#options.claim.segment));
    this.#options.onLost();
  }
}
