/**
 * What the key-value service has seen.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { BoundedLog } from "../common/bounded_log.ts";
import { type Event, keyOf, revisionOf } from "./state.ts";

/** Kinds of calls that are counted. */
export type CallKind =
  | "range"
  | "put"
  | "deleterange"
  | "txn"
  | "grant"
  | "keepalive"
  | "revoke"
  | "watch";

/** One write as it took effect. */
export interface WriteRecord {
  readonly key: string;
  readonly type: Event["type"];
  readonly revision: number;
  /** ISO 8601. */
  readonly at: string;
  readonly valueBytes: number;
}

const MAX_WRITES = 50_000;

/** Counts of calls and a history of writes. */
export class Record {
  readonly #calls = new Map<CallKind, number>();
  readonly #writes = new BoundedLog<WriteRecord>(MAX_WRITES);
  #refused = 0;
  #answersLost = 0;
  #bytesIn = 0;
  #bytesOut = 0;

  /** Counts a call. */
  called(kind: CallKind, bytes: number): void {
    this.#calls.set(kind, (this.#calls.get(kind) ?? 0) + 1);
    this.#bytesIn += bytes;
  }

  /** Counts an answer. */
  answered(bytes: number): void {
    this.#bytesOut += bytes;
  }

  /** Counts a call over the budget. */
  refused(): void {
    this.#refused += 1;
  }

  /** Counts an answer that was lost on purpose. */
  answerLost(): void {
    this.#answersLost += 1;
  }

  /** Keeps the writes of one revision. */
  wrote(events: readonly Event[]): void {
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

  /** The record as a JSON object. */
  report(): Readonly<{ [field: string]: unknown }> {
    return {
      calls: Object.fromEntries(this.#calls),
      refused: this.#refused,
      answersLost: this.#answersLost,
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
