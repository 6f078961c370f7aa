/**
 * Records that wait to be written to a segment.
 *
 * @module
 */
import { err, type Result, ResultAsync } from "neverthrow";
import type { AppendFailure } from "./failures.ts";
import type { JournalRecord } from "./records.ts";

/** Records that go into one batch together, and who waits for them. */
export interface Append {
  readonly records: readonly JournalRecord[];
  readonly bytes: number;
  readonly resolve: (result: Result<void, AppendFailure>) => void;
}

/** Appends in order of arrival. */
export class AppendQueue {
  #appends: Append[] = [];
  #bytes = 0;

  /** Bytes queued. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Appends queued. */
  get length(): number {
    return this.#appends.length;
  }

  /** Adds records at the end. */
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

  /** Takes the oldest appends that fit into a batch, none split. */
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

  /** Refuses everything queued. */
  fail(failure: AppendFailure): void {
    const appends = this.#appends;
    this.#appends = [];
    this.#bytes = 0;
    for (const append of appends) append.resolve(err(failure));
  }
}
