/**
 * Writes to a segment under the condition that its head has not changed, and
 * finds out what became of a write whose answer was lost.
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
import type { Claim, Claimed } from "./replay.ts";

/** What a writer works with. */
export interface WriterOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly claim: Claim;
  /** Delay before the service is asked again, milliseconds. */
  readonly retryMs: number;
  /** Called when the fate of a write cannot be found out for now. */
  readonly inDoubt: () => void;
}

/** A change of the segment: writes that go with a new head. */
export interface SegmentChange {
  readonly writes: readonly Write[];
  readonly head: Head;
}

/** Writes of one owner to one segment, one at a time. */
export class FencedWriter {
  readonly #options: WriterOptions;
  #head: Head;
  #revision: number;
  #closed = false;
  #lost = false;

  constructor(options: WriterOptions, claimed: Claimed) {
    this.#options = options;
    this.#head = claimed.head;
    this.#revision = claimed.revision;
  }

  /** The head as last written. */
  get head(): Head {
    return this.#head;
  }

  /** Whether another owner has been seen. */
  get lost(): boolean {
    return this.#lost;
  }

  /** Gives up on a write in doubt. */
  close(): void {
    this.#closed = true;
  }

  /** Carries out the change, or leaves the segment as it was. */
  async write(change: SegmentChange): Promise<Result<void, AppendFailure>> {
    const result = await this.#commit(change);
    if (result.isOk()) {
      if (result.value === undefined) return this.#giveUp();
      return this.#accept(change, result.value);
    }
    if (isInDoubt(result.error)) return this.#settle(change);
    return err(this.#refusal(result.error));
  }

  /** Removes the head and the batches; `false` if it has to be asked again. */
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

  /** Revision of the commit, `undefined` for a conflict. */
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

  async #settle(change: SegmentChange): Promise<Result<void, AppendFailure>> {
    for (;;) {
      const settled = await this.#settleOnce(change);
      if (settled !== undefined) return settled;
      if (this.#closed) return err(unknownFailure);
      this.#options.inDoubt();
      await sleep(this.#options.clock, this.#options.retryMs);
    }
  }

  async #settleOnce(
    change: SegmentChange,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const read = await this.#get(headKey(this.#options.claim.segment));
    if (read.isErr()) return undefined;
    const entry = read.value;
    if (entry?.revision === this.#revision) return this.#repeat(change);
    const head = entry === undefined
      ? undefined
      : decodeHead(entry.value).unwrapOr(undefined);
    if (entry !== undefined && head?.write === change.head.write) {
      return this.#accept(change, entry.revision);
    }
    return await this.#settleWithSuccessor(change, head);
  }

  /** Writes again under the same condition, which at most one of the tries can meet. */
  async #repeat(
    change: SegmentChange,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const result = await this.#commit(change);
    if (result.isErr() || result.value === undefined) return undefined;
    return this.#accept(change, result.value);
  }

  /** A successor has written since; the batch itself tells whether it was written before. */
  async #settleWithSuccessor(
    change: SegmentChange,
    head: Head | undefined,
  ): Promise<Result<void, AppendFailure> | undefined> {
    const number = change.head.next - 1;
    const read = await this.#get(batchKey(this.#options.claim.segment, number));
    if (read.isErr()) return undefined;
    this.#lost = true;
    if (read.value !== undefined) {
      const mine = decodeBatch(read.value.value)
        .map((batch) => batch.write === change.head.write)
        .unwrapOr(false);
      return mine ? ok(undefined) : this.#giveUp();
    }
    const isKept = head !== undefined && head.first <= number;
    return isKept ? this.#giveUp() : err(unknownFailure);
  }

  #get(key: string): PromiseLike<Result<Entry | undefined, StoreFailure>> {
    return this.#options.store.get(key);
  }

  #accept(change: SegmentChange, revision: number): Result<void, never> {
    this.#head = change.head;
    this.#revision = revision;
    return ok(undefined);
  }

  #giveUp(): Result<never, AppendFailure> {
    this.#lost = true;
    return err(segmentLost(this.#options.claim.segment));
  }

  #refusal(failure: StoreFailure): AppendFailure {
    if (failure.type === "storeValueTooLarge") {
      return recordsTooLarge(failure.limitBytes);
    }
    return storeAway(this.#options.retryMs);
  }
}

const unknownFailure: AppendFailure = {
  type: "appendUnknown",
  message: "whether the records were written is unknown",
};

function isInDoubt(failure: StoreFailure): boolean {
  return failure.type === "storeAnswerLost" || failure.type === "storeProtocol";
}
