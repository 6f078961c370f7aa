/**
 * Queue of records that wait to be written to a segment.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { AppendFailure } from "./failures.ts";
import type { JournalRecord } from "./records.ts";

/** Records that have to be written in one batch, with the callback for their result. */
export interface Append {
  readonly records: readonly JournalRecord[];
  readonly bytes: number;
  readonly resolve: (result: Result<void, AppendFailure>) => void;
}

/** First-in, first-out queue of appends. */
export class AppendQueue {
  #appends: Append[] = [];
  #bytes = 0;

  /** Total bytes of the queued records. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of queued appends. */
  get length(): number {
    return this.#appends.length;
  }

  /** Adds records at the end; resolves with the result of their write. */
  push(
    records: readonly JournalRecord[],
    bytes: number,
  ): ResultAsync<void, AppendFailure> {
    this.#bytes += bytes;
    const written = new Promise<Result<void, AppendFailure>>((resolve) => {
      this.#appends.push({ records, bytes, resolve });
    });
    return new ResultAsync(written);
  }

  /** Removes and returns the oldest appends that together fit into a batch. An append is never split. */
  take(batchBytes: number): readonly Append[] {
    let bytes = 0;
    const end = this.#appends.findIndex((append) => {
      bytes += append.bytes;
      return bytes > batchBytes;
    });
    const batch = this.#appends.splice(0, end === -1 ? Infinity : end);
    this.#bytes -= batch.reduce((sum, append) => sum + append.bytes, 0);
    return batch;
  }

  /** Fails all queued appends. */
  fail(failure: AppendFailure): void {
    const appends = this.#appends;
    this.#appends = [];
    this.#bytes = 0;
    for (const append of appends) append.resolve(err(failure));
  }
}
