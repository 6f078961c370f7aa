/**
 * Writes to a segment on the condition that its head has not changed, and
 * determines the outcome of writes whose answer was lost.
 *
 * @module
 */
import { err, ok, Result } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Entry, Store, Write } from "../ports/store.ts";
import {
  type AppendFailure,
  recordsTooLarge,
  segmentLost,
  storeAway,
} from "./failures.ts";
import { batchKey, headKey } from "./layout.ts";
import { decodeBatch, decodeHead, encodeHead, type Head } from "./records.ts";
import type { Claim, ClaimedSegment } from "./replay.ts";

/** Dependencies and settings of a writer. */
export interface WriterOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly claim: Claim;
  /** Delay before the store is called again, in milliseconds. */
  readonly retryMs: number;
  /** Called each time the outcome of a write can't be determined yet. */
  readonly onUnresolved: () => void;
}

/** A transaction on the segment: writes together with the new head. */
export interface SegmentChange {
  readonly writes: readonly Write[];
  readonly head: Head;
}

/** Writes of one owner to one segment; the caller makes one call at a time. */
export class FencedWriter {
  readonly #options: WriterOptions;
  #head: Head;
  #revision: number;
  #closed = false;
  #lost = false;

  constructor(options: WriterOptions, claimed: ClaimedSegment) {
    this.#options = options;
    this.#head = claimed.head;
    this.#revision = claimed.revision;
  }

  /** The head as last written. */
  get head(): Head {
    return this.#head;
  }

  /** Whether another owner of the segment was detected. */
  get lost(): boolean {
    return this.#lost;
  }

  /** Stops determining the outcome of a write, which then fails with `appendUnknown`. */
  close(): void {
    this.#closed = true;
  }

  /** Commits the change. On every error but `appendUnknown`, nothing was written. */
  async write(change: SegmentChange): Promise<Result<void, AppendFailure>> {
    const result = await this.#commit(change);
    if (result.isOk()) {
      if (result.value === undefined) return this.#failAsLost();
      return this.#accept(change, result.value);
    }
    if (isOutcomeUnknown(result.error)) return this.#resolveOutcome(change);
    return err(this.#rejectionOf(result.error));
  }

  /** Deletes the head and the batches. `false` if the caller has to retry or the segment is lost. */
  async remove(batches: readonly string[]): Promise<boolean> {
    const key = headKey(this.#options.claim.segment);
    const result = await this.#options.store.commit(
      [{ key, revision: this.#revision }],
      [key, ...batches].map((name) => ({ type: "delete", key: name })),
    );
    if (result.isErr()) return false;
    if (result.value.type === "conflict") this.#lost = true;
    return result.value.type === "committed";
  }

  /** Revision of the commit; `undefined` on a conflict. */
  async #commit(
    change: SegmentChange,
  ): Promise<Result<number | undefined, StoreFailure>> {
    const key = headKey(this.#options.claim.segment);
    const value = encodeHead(change.head);
    const result = await this.#options.store.commit(
      [{ key, revision: this.#revision }],
      [...change.writes, { type: "put", key, value }],
    );
    return result.map((commit) =>
      commit.type === "committed" ? commit.revision : undefined
    );
  }

  async #resolveOutcome(
    change: SegmentChange,
  ): Promise<Result<void, AppendFailure>> {
    for (;;) {
      const resolved = await this.#tryResolve(change);
      if (resolved !== undefined) return resolved;
      if (this.#closed) return err(outcomeUnknown);
      this.#options.onUnresolved();
      await sleep(this.#options.clock, this.#options.retryMs);
    }
  }

  async #tryResolve(
    change: SegmentChange,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const read = await this.#get(headKey(this.#options.claim.segment));
    if (read.isErr()) return undefined;
    const entry = read.value;
    if (entry?.revision === this.#revision) return this.#retryCommit(change);
    const head = entry === undefined
      ? undefined
      : decodeHead(entry.value).unwrapOr(undefined);
    if (entry !== undefined && head?.write === change.head.write) {
      return this.#accept(change, entry.revision);
    }
    return await this.#resolveAfterTakeover(change, head);
  }

  /** Retries the commit on the same condition, which at most one of the commits can meet. */
  async #retryCommit(
    change: SegmentChange,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const result = await this.#commit(change);
    if (result.isErr() || result.value === undefined) return undefined;
    return this.#accept(change, result.value);
  }

  /** Determines the outcome after a new owner has written the head, from the write id in the batch. */
  async #resolveAfterTakeover(
    change: SegmentChange,
    head: Head | undefined,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const number = change.head.next - 1;
    const read = await this.#get(batchKey(this.#options.claim.segment, number));
    if (read.isErr()) return undefined;
    this.#lost = true;
    if (read.value !== undefined) {
      const isOwnBatch = decodeBatch(read.value.value)
        .map((batch) => batch.write === change.head.write)
        .unwrapOr(false);
      return isOwnBatch ? ok(undefined) : this.#failAsLost();
    }
    const isKept = head !== undefined && head.first <= number;
    return isKept ? this.#failAsLost() : err(outcomeUnknown);
  }

  #get(key: string): PromiseLike<Result<Entry | undefined, StoreFailure>> {
    return this.#options.store.get(key);
  }

  #accept(change: SegmentChange, revision: number): Result<void, never> {
    this.#head = change.head;
    this.#revision = revision;
    return ok(undefined);
  }

  #failAsLost(): Result<never, AppendFailure> {
    this.#lost = true;
    return err(segmentLost(this.#options.claim.segment));
  }

  #rejectionOf(failure: StoreFailure): AppendFailure {
    if (failure.type === "storeValueTooLarge") {
      return recordsTooLarge(failure.limitBytes);
    }
    return storeAway(this.#options.retryMs);
  }
}

const outcomeUnknown: AppendFailure = {
  type: "appendUnknown",
  message: "whether the records were written is unknown",
};

function isOutcomeUnknown(failure: StoreFailure): boolean {
  return failure.type === "storeAnswerLost" || failure.type === "storeProtocol";
}
