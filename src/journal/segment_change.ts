/**
 * Composes the transactions of a segment.
 *
 * @module
 */
import type { SegmentChange } from "./fenced_writer.ts";
import { batchKey } from "./layout.ts";
import { encodeBatch, type Head, type JournalRecord } from "./records.ts";
import type { Claim } from "./replay.ts";
import type { WorkTable } from "./work_table.ts";

/** What the next batch holds. */
export interface NextBatch {
  readonly records: readonly JournalRecord[];
  /** Oldest batch that is kept. */
  readonly first: number;
  /** Sequence of the next submission. */
  readonly sequence: number;
}

/** A transaction with the length of its batch. */
export interface ComposedChange {
  readonly change: SegmentChange;
  readonly bytes: number;
}

/** Puts a batch after the newest one and deletes those before `first`. */
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

/** The oldest batch that is still needed once the snapshots are written. */
export function firstNeeded(
  table: WorkTable,
  oldest: readonly number[],
  snapshots: readonly JournalRecord[],
): number {
  const moved = new Set(
    snapshots.map((record) =>
      record.type === "snapshot" ? record.state.sequence : undefined
    ),
  );
  const needed = oldest.find((batch) =>
    table.sequencesAt(batch).some((sequence) => !moved.has(sequence))
  );
  return needed ?? (oldest.at(-1) ?? 0) + 1;
}
