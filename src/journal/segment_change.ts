/**
 * Builds the store transactions that append a batch to a journal segment and
 * delete the batches that it replaces.
 *
 * @module
 */
import type { SegmentChange } from "./fenced_writer.ts";
import { batchKey } from "./layout.ts";
import { encodeBatch, type Head, type JournalRecord } from "./records.ts";
import type { Claim } from "./replay.ts";
import type { WorkTable } from "./work_table.ts";

/** Records of the next batch of a segment, and fields of the segment's new head. */
export interface NextBatch {
  readonly records: readonly JournalRecord[];
  /** Number of the oldest batch to keep. */
  readonly first: number;
  /** Sequence number of the next submission. */
  readonly sequence: number;
}

/** A transaction with the size of the batch that it appends. */
export interface ComposedChange {
  readonly change: SegmentChange;
  readonly bytes: number;
}

/** Builds the transaction that appends a batch to a segment and deletes the segment's batches before number `first`. */
export function composeChange(
  claim: Claim,
  old: Head,
  { records, first, sequence }: NextBatch,
): ComposedChange {
  const write = claim.newWriteId();
  const value = encodeBatch({ write, records });
  const head = { ...old, first, next: old.next + 1, sequence, write };
  const key = batchKey(claim.segment, old.next);
  const count = first - old.first;
  const deletes = Array.from({ length: count }, (_, index) => ({
    type: "delete" as const,
    key: batchKey(claim.segment, old.first + index),
  }));
  const writes = [{ type: "put" as const, key, value }, ...deletes];
  return { change: { writes, head }, bytes: Buffer.byteLength(value) };
}

/**
 * Number of the first of the `oldest` batches that still holds the current
 * state of a work item once `snapshots` are written; if none does, the number
 * after the last of them. Batches before this number can be deleted.
 */
export function firstRequiredBatch(
  table: WorkTable,
  oldest: readonly number[],
  snapshots: readonly JournalRecord[],
): number {
  const rewritten = new Set(
    snapshots.map((record) =>
      record.type === "snapshot" ? record.state.sequence : undefined
    ),
  );
  const required = oldest.find((batch) =>
    table.sequencesAt(batch).some((sequence) => !rewritten.has(sequence))
  );
  return required ?? (oldest.at(-1) ?? 0) + 1;
}
