/**
 * Failures of the journal.
 *
 * @module
 */
import type { StoreFailure } from "../errors.ts";
import type { DecodeFailure } from "./records.ts";

/** Another instance owns the segment; the records were not written. */
export interface SegmentLost {
  readonly type: "segmentLost";
  readonly message: string;
}

/** Why records were not appended. */
export type AppendFailure =
  | SegmentLost
  /** The service is away; the records were not written. */
  | {
    readonly type: "storeAway";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** Too much is queued; the records were not written. */
  | {
    readonly type: "journalFull";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  /** The records do not fit into one value of the service. */
  | {
    readonly type: "recordsTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  /** The segment was closed; the records were not written. */
  | { readonly type: "segmentClosed"; readonly message: string }
  /** The answer was lost and the batch is gone: the records may have been written. */
  | { readonly type: "appendUnknown"; readonly message: string };

/** Why a segment could not be opened. */
export type OpenFailure =
  | SegmentLost
  | StoreFailure
  | DecodeFailure
  /** A batch between the oldest and the newest is missing. */
  | { readonly type: "batchMissing"; readonly message: string };

/** Failure of an append by an instance that no longer owns the segment. */
export function segmentLost(segment: string): SegmentLost {
  return { type: "segmentLost", message: `segment ${segment} has a new owner` };
}

/** Refusal of an append while the service is away. */
export function storeAway(retryAfterMs: number): AppendFailure {
  return {
    type: "storeAway",
    message: "the key-value service is away",
    retryAfterMs,
  };
}

/** Refusal of an append while too much is queued. */
export function journalFull(retryAfterMs: number): AppendFailure {
  return { type: "journalFull", message: "too much is queued", retryAfterMs };
}

/** Refusal of records larger than one value. */
export function recordsTooLarge(limitBytes: number): AppendFailure {
  return {
    type: "recordsTooLarge",
    message: "the records do not fit into one value",
    limitBytes,
  };
}

/** Refusal of an append to a closed segment. */
export const segmentClosed: AppendFailure = {
  type: "segmentClosed",
  message: "the segment is closed",
};
