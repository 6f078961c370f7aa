/**
 * In-memory table of the works of one segment. For each work it records the
 * batch with its submission or latest snapshot: compaction may delete a batch
 * only when no work depends on it.
 *
 * @module
 */
import type { JournalRecord, Work } from "./records.ts";
import {
  applyRecord,
  newWork,
  snapshotBytes,
  taskOutputBytes,
  type WorkRecord,
} from "./work_state.ts";

interface Row {
  readonly work: Work;
  /** Batch with the work's submission or latest snapshot. */
  readonly batch: number;
  readonly bytes: number;
}

/** Table of the works of one segment. */
export class WorkTable {
  readonly #rows = new Map<number, Row>();
  readonly #sequencesByBatch = new Map<number, Set<number>>();
  readonly #keys = new Map<string, number>();
  #bytes = 0;

  /** Estimated size of the snapshots of all works, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of works. */
  get size(): number {
    return this.#rows.size;
  }

  /** The work with a sequence number. */
  get(sequence: number): Work | undefined {
    return this.#rows.get(sequence)?.work;
  }

  /** The work that a team submitted with an idempotency key. */
  findByKey(team: string, key: string): Work | undefined {
    const sequence = this.#keys.get(teamKey(team, key));
    return sequence === undefined ? undefined : this.get(sequence);
  }

  /** All works: oldest submission first, except for those replayed from snapshots. */
  *works(): Generator<Work> {
    for (const row of this.#rows.values()) yield row.work;
  }

  /** Applies a record of a batch; records of unknown works are ignored. */
  apply(batch: number, record: JournalRecord): void {
    switch (record.type) {
      case "submitted":
        return this.#submit(batch, newWork(record));
      case "snapshot":
        return this.#put(record.state, batch, snapshotBytes(record.state));
      case "cancelled":
        for (const sequence of record.works) this.#change(sequence, record);
        return;
      default:
        return this.#change(record.work, record);
    }
  }

  /** Removes a work. */
  remove(sequence: number): void {
    const row = this.#rows.get(sequence);
    if (row === undefined) return;
    this.#rows.delete(sequence);
    this.#bytes -= row.bytes;
    this.#removeFromBatch(sequence, row.batch);
    const { team, key } = row.work;
    if (key !== undefined) this.#keys.delete(teamKey(team, key));
  }

  /** Sequences of the works whose submission or latest snapshot is in a batch. */
  sequencesAt(batch: number): readonly number[] {
    return [...this.#sequencesByBatch.get(batch) ?? []];
  }

  /** Snapshots of the works that depend on the batches, up to `limitBytes` in total but at least one. */
  snapshots(batches: readonly number[], limitBytes: number): JournalRecord[] {
    const records: JournalRecord[] = [];
    let bytes = 0;
    for (const row of this.#rowsOf(batches)) {
      if (records.length > 0 && bytes + row.bytes > limitBytes) break;
      records.push({ type: "snapshot", state: row.work });
      bytes += row.bytes;
    }
    return records;
  }

  *#rowsOf(batches: readonly number[]): Generator<Row> {
    for (const batch of batches) {
      for (const sequence of this.#sequencesByBatch.get(batch) ?? []) {
        const row = this.#rows.get(sequence);
        if (row !== undefined) yield row;
      }
    }
  }

  #submit(batch: number, work: Work): void {
    if (this.#rows.has(work.sequence)) return;
    const { team, key } = work;
    if (key !== undefined && this.findByKey(team, key) !== undefined) return;
    this.#put(work, batch, snapshotBytes(work));
  }

  #change(
    sequence: number,
    record: WorkRecord,
  ): void {
    const row = this.#rows.get(sequence);
    if (row === undefined) return;
    const work = applyRecord(row.work, record);
    if (work === row.work) return;
    const bytes = "task" in record
      ? row.bytes + taskBytesChange(row.work, work, record.task)
      : snapshotBytes(work);
    this.#put(work, row.batch, bytes);
  }

  #put(work: Work, batch: number, bytes: number): void {
    const old = this.#rows.get(work.sequence);
    this.#rows.set(work.sequence, { work, batch, bytes });
    this.#bytes += bytes - (old?.bytes ?? 0);
    if (work.key !== undefined) {
      this.#keys.set(teamKey(work.team, work.key), work.sequence);
    }
    if (old?.batch === batch) return;
    if (old !== undefined) this.#removeFromBatch(work.sequence, old.batch);
    this.#addToBatch(work.sequence, batch);
  }

  #addToBatch(sequence: number, batch: number): void {
    const sequences = this.#sequencesByBatch.get(batch) ?? new Set();
    sequences.add(sequence);
    this.#sequencesByBatch.set(batch, sequences);
  }

  #removeFromBatch(sequence: number, batch: number): void {
    const sequences = this.#sequencesByBatch.get(batch);
    sequences?.delete(sequence);
    if (sequences?.size === 0) this.#sequencesByBatch.delete(batch);
  }
}

/** Change in bytes caused by one changed task. */
function taskBytesChange(before: Work, after: Work, index: number): number {
  const bytes = (work: Work) => {
    const task = work.tasks[index];
    return task === undefined ? 0 : taskOutputBytes(task);
  };
  return bytes(after) - bytes(before);
}

function teamKey(team: string, key: string): string {
  return JSON.stringify([team, key]);
}
