/**
 * A segment of the journal held by this instance: group commit of appended
 * records, one write in flight, and compaction of its oldest batches.
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
  type Claimed,
  claimSegment,
  type ReplayedBatch,
} from "./replay.ts";
import { composeChange, firstNeeded } from "./segment_change.ts";
import { StoredBatches } from "./stored_batches.ts";
import type { WorkTable } from "./work_table.ts";
import type { WriteBudget } from "./write_budget.ts";

/** Bounds of a segment. */
export interface SegmentLimits {
  /** Time that records wait for company, milliseconds. */
  readonly delayMs: number;
  /** Largest batch, bytes. */
  readonly batchBytes: number;
  /** Most that may be queued, bytes. */
  readonly queueBytes: number;
  /** Delay before a service that was away is asked again, milliseconds. */
  readonly retryMs: number;
  /** Compaction starts above so many batches. */
  readonly batches: number;
  /** Compaction starts when the dead bytes pass so many and the live ones. */
  readonly deadBytes: number;
}

/** Bounds that suit a service of 1 MB values and some hundred writes a second. */
export const SEGMENT_LIMITS: SegmentLimits = {
  delayMs: 10,
  batchBytes: 700_000,
  queueBytes: 8_000_000,
  retryMs: 500,
  batches: 256,
  deadBytes: 1_000_000,
};

/** Most batches that one compaction removes. */
const COMPACTION_BATCHES = 64;
/** Bytes that are replayed in one go. */
const REPLAY_PAUSE_BYTES = 1_000_000;

/** What a segment works with. */
export interface SegmentOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly budget: WriteBudget;
  readonly claim: Claim;
  readonly limits: SegmentLimits;
  /** State that committed records are applied to before their append resolves. */
  readonly table: WorkTable;
  /** Called once when another owner has been seen. */
  readonly lost: () => void;
}

/** A segment that this instance may append to. */
export class Segment {
  readonly #options: SegmentOptions;
  readonly #writer: FencedWriter;
  readonly #stored = new StoredBatches();
  readonly #queue = new AppendQueue();
  #sequence: number;
  #awayUntilMs = 0;
  #closed = false;
  #pump: Promise<void> | undefined;

  /** Claims a segment and applies what it holds to the table. */
  static open(options: SegmentOptions): ResultAsync<Segment, OpenFailure> {
    return claimSegment(options.store, options.claim)
      .map(async (claimed) => {
        const segment = new Segment(options, claimed);
        await segment.#replay(claimed.batches);
        return segment;
      });
  }

  private constructor(options: SegmentOptions, claimed: Claimed) {
    this.#options = options;
    this.#sequence = claimed.head.sequence;
    this.#writer = new FencedWriter({
      store: options.store,
      clock: options.clock,
      claim: options.claim,
      retryMs: options.limits.retryMs,
      inDoubt: () => this.#goAway(),
    }, claimed);
  }

  /** Applies what was read, with pauses for other work of the process. */
  async #replay(batches: readonly ReplayedBatch[]): Promise<void> {
    let bytes = 0;
    for (const batch of batches) {
      this.#applyBatch(batch.number, batch.records, batch.bytes);
      bytes += batch.bytes;
      if (bytes < REPLAY_PAUSE_BYTES) continue;
      bytes = 0;
      await setImmediate();
    }
  }

  /** Bytes queued and not yet written. */
  get queuedBytes(): number {
    return this.#queue.bytes;
  }

  /** Batches kept in the service. */
  get batches(): number {
    return this.#stored.count;
  }

  /** Milliseconds until the service is asked again; 0 while it answers. */
  get awayMs(): number {
    return Math.max(0, this.#awayUntilMs - this.#options.clock.monotonic());
  }

  /** A sequence that no other submission of the segment has. */
  takeSequence(): number {
    return this.#sequence++;
  }

  /** Writes the records, all in one batch; resolves once they are written and applied. */
  append(records: readonly JournalRecord[]): ResultAsync<void, AppendFailure> {
    const bytes = records.reduce((sum, record) => sum + recordBytes(record), 0);
    const refusal = this.#refusal(bytes);
    if (refusal !== undefined) return errAsync(refusal);
    const written = this.#queue.push(records, bytes);
    this.#pump ??= this.#run();
    return written;
  }

  /** Writes what is queued, then takes no more. */
  async close(): Promise<void> {
    this.#closed = true;
    this.#writer.close();
    await this.#pump;
    this.#queue.fail(segmentClosed);
  }

  /** Removes the segment from the service; `false` if it is not empty or has to be asked again. */
  async retire(): Promise<boolean> {
    const { claim, table } = this.#options;
    if (table.size > 0 || this.#pump !== undefined) return false;
    this.#pump = this.#retireOnce(claim);
    await this.#pump;
    return this.#closed;
  }

  async #retireOnce(claim: Claim): Promise<void> {
    if (this.#stored.count > COMPACTION_BATCHES) {
      await this.#compact();
    } else {
      const keys = this.#stored.oldest(COMPACTION_BATCHES)
        .map((number) => batchKey(claim.segment, number));
      if (await this.#writer.remove(keys)) this.#closed = true;
      if (this.#writer.lost) this.#lose();
    }
    this.#pump = undefined;
    if (this.#closed) this.#queue.fail(segmentClosed);
    else if (this.#queue.length > 0) this.#pump = this.#run();
  }

  #refusal(bytes: number): AppendFailure | undefined {
    const { limits } = this.#options;
    if (this.#closed) return segmentClosed;
    if (bytes > limits.batchBytes) return recordsTooLarge(limits.batchBytes);
    if (this.awayMs > 0) return storeAway(Math.ceil(this.awayMs));
    if (this.#queue.bytes + bytes > limits.queueBytes) {
      return journalFull(limits.retryMs);
    }
    return undefined;
  }

  async #run(): Promise<void> {
    const { clock, limits } = this.#options;
    await sleep(clock, limits.delayMs);
    while (this.#queue.length > 0) {
      await this.#waitForBudget();
      await this.#writeBatch(this.#queue.take(limits.batchBytes));
      if (this.#needsCompaction()) await this.#compact();
    }
    this.#pump = undefined;
  }

  async #waitForBudget(): Promise<void> {
    const { budget, clock } = this.#options;
    for (let waitMs = budget.take(); waitMs > 0; waitMs = budget.take()) {
      await sleep(clock, waitMs);
    }
  }

  async #writeBatch(batch: readonly Append[]): Promise<void> {
    if (batch.length === 0) return;
    const records = batch.flatMap((append) => append.records);
    const result = await this.#put(records, this.#writer.head.first);
    for (const append of batch) append.resolve(result);
    this.#afterWrite(result);
  }

  /** Writes one batch and moves the oldest kept batch up to `first`. */
  async #put(
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
    if (this.#closed || this.awayMs > 0 || this.#writer.lost) return false;
    return this.#stored.count > limits.batches ||
      this.#stored.bytes > 2 * table.bytes + limits.deadBytes;
  }

  async #compact(): Promise<void> {
    const { table, limits } = this.#options;
    await this.#waitForBudget();
    const oldest = this.#stored.oldest(COMPACTION_BATCHES);
    const records = table.snapshots(oldest, limits.batchBytes);
    const first = firstNeeded(table, oldest, records);
    this.#afterWrite(await this.#put(records, first));
  }

  #afterWrite(result: Result<void, AppendFailure>): void {
    if (result.isErr() && result.error.type === "storeAway") this.#goAway();
    if (this.#writer.lost) this.#lose();
  }

  #goAway(): void {
    const { clock, limits } = this.#options;
    this.#awayUntilMs = clock.monotonic() + limits.retryMs;
    this.#queue.fail(storeAway(limits.retryMs));
  }

  #lose(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#queue.fail(segmentLost(this.#options.claim.segment));
    this.#options.lost();
  }
}
