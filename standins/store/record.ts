/**
 * Statistics of the key-value service: calls, traffic and applied writes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { BoundedLog } from "../common/bounded_log.ts";
import { type Event, keyOf, revisionOf } from "./state.ts";

/** Kinds of calls. */
export type CallKind =
  | "range"
  | "put"
  | "deleterange"
  | "txn"
  | "grant"
  | "keepalive"
  | "revoke"
  | "watch";

/** One applied write. */
export interface WriteRecord {
  readonly key: string;
  readonly type: Event["type"];
  readonly revision: number;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
  readonly valueBytes: number;
}

const MAX_WRITES = 50_000;

/** Counts calls and keeps the most recent writes. */
export class CallRecord {
  readonly #calls = new Map<CallKind, number>();
  readonly #writes = new BoundedLog<WriteRecord>(MAX_WRITES);
  #rateLimited = 0;
  #responsesLost = 0;
  #bytesIn = 0;
  #bytesOut = 0;

  /** Counts a call and the bytes of its body. */
  countCall(kind: CallKind, bytes: number): void {
    this.#calls.set(kind, (this.#calls.get(kind) ?? 0) + 1);
    this.#bytesIn += bytes;
  }

  /** Counts the bytes of a response. */
  countResponseBytes(bytes: number): void {
    this.#bytesOut += bytes;
  }

  /** Counts a call that exceeded the rate limit. */
  countRateLimited(): void {
    this.#rateLimited += 1;
  }

  /** Counts a response that was dropped by a simulated fault. */
  countLostResponse(): void {
    this.#responsesLost += 1;
  }

  /** Records the writes of one revision. */
  recordWrites(events: readonly Event[]): void {
    const at = new Date().toISOString();
    for (const event of events) {
      this.#writes.add({
        key: Buffer.from(keyOf(event), "latin1").toString("utf8"),
        type: event.type,
        revision: revisionOf(event),
        at,
        valueBytes: valueBytes(event),
      });
    }
  }

  /** Statistics and writes as a JSON object. */
  report(): Readonly<{ [field: string]: unknown }> {
    return {
      calls: Object.fromEntries(this.#calls),
      refused: this.#rateLimited,
      answersLost: this.#responsesLost,
      bytesIn: this.#bytesIn,
      bytesOut: this.#bytesOut,
      writes: this.#writes.entries,
      writesDropped: this.#writes.dropped,
    };
  }
}

function valueBytes(event: Event): number {
  switch (event.type) {
    case "put":
      return Buffer.byteLength(event.kv.value, "base64");
    case "delete":
      return 0;
  }
}
