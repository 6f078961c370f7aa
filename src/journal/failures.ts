/**
 * Errors of the journal.
 *
 * @module
 */
import type { StoreFailure } from "../errors.ts";
import type { DecodeFailure } from "./records.ts";

/** Another instance owns the segment. The records were not written. */
export interface SegmentLost {
  readonly type: "segmentLost";
  readonly message: string;
}

/** Reason why an append failed. */
export type AppendFailure =
  | SegmentLost
  /** The store is unreachable. The records were not written. */
  | {
    readonly type: "storeAway";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** The queue is full. The records were not written. */
  | {
    readonly type: "journalFull";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** The records exceed the maximum size of a value in the store. */
  | {
    readonly type: "recordsTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  /** The segment is closed. The records were not written. */
  | { readonly type: "segmentClosed"; readonly message: string }
  /** The answer was lost and the batch can't be read back: the records may have been written. */
  | { readonly type: "appendUnknown"; readonly message: string };

/** Reason why a segment could not be opened. */
export type OpenFailure =
  | SegmentLost
  | StoreFailure
  | DecodeFailure
  /** A batch between the oldest and the newest is missing. */
  | { readonly type: "batchMissing"; readonly message: string };

/** Error of an instance that does not own the segment. */
export function segmentLost(segment: string): SegmentLost {
  return { type: "segmentLost", message: `segment ${segment} has a new owner` };
}

/** Error of an append while the store is unreachable. */
export function storeAway(retryAfterMs: number): AppendFailure {
  return {
    type: "storeAway",
    message: "the key-value store is unreachable",
    retryAfterMs,
  };
}

/** Error of an append that would exceed the queue limit. */
export function journalFull(retryAfterMs: number): AppendFailure {
  return {
    type: "journalFull",
    message: "the append queue is full",
    retryAfterMs,
  };
}

/** Error of an append that is larger than one value. */
export function recordsTooLarge(limitBytes: number): AppendFailure {
  return {
    type: "recordsTooLarge",
    message: "the records do not fit into one value",
    limitBytes,
  };
}

/** Error of an append to a closed segment. */
export const segmentClosed: AppendFailure = {
  type: "segmentClosed",
  message: "the segment is closed",
};
