/**
 * The works of one segment, with the batch that each was last written to as a
 * whole, which is what compaction goes by.
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
  /** Batch of the work's submission or newest snapshot. */
  readonly home: number;
  readonly bytes: number;
}

/** The works of one segment. */
export class WorkTable {
  readonly #rows = new Map<number, Row>();
  readonly #homes = new Map<number, Set<number>>();
  readonly #keys = new Map<string, number>();
  #bytes = 0;

  /** Estimated bytes of all works. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Works held. */
  get size(): number {
    return this.#rows.size;
  }

  /** The work with the sequence. */
  get(sequence: number): Work | undefined {
    return this.#rows.get(sequence)?.work;
  }

  /** The work that the team submitted with the key. */
  withKey(team: string, key: string): Work | undefined {
    const sequence = this.#keys.get(keyName(team, key));
    return sequence === undefined ? undefined : this.get(sequence);
  }

  /** All works, oldest submission first unless replayed from snapshots. */
  *works(): Generator<Work> {
    for (const row of this.#rows.values()) yield row.work;
  }

  /** Applies a record that was written to the batch; records of works not held change nothing. */
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

  /** Forgets a work. */
  drop(sequence: number): void {
    const row = this.#rows.get(sequence);
    if (row === undefined) return;
    this.#rows.delete(sequence);
    this.#bytes -= row.bytes;
    this.#leaveHome(sequence, row.home);
    const { team, key } = row.work;
    if (key !== undefined) this.#keys.delete(keyName(team, key));
  }

  /** Sequences of the works at home in the batch. */
  sequencesAt(batch: number): readonly number[] {
    return [...this.#homes.get(batch) ?? []];
  }

  /** Snapshots of the works at home in the batches, up to `limitBytes` in all but one at least. */
  snapshots(batches: readonly number[], limitBytes: number): JournalRecord[] {
    const records: JournalRecord[] = [];
    let bytes = 0;
    for (const row of this.#atHome(batches)) {
      if (records.length > 0 && bytes + row.bytes > limitBytes) break;
      records.push({ type: "snapshot", state: row.work });
      bytes += row.bytes;
    }
    return records;
  }

  *#atHome(batches: readonly number[]): Generator<Row> {
    for (const batch of batches) {
      for (const sequence of this.#homes.get(batch) ?? []) {
        const row = this.#rows.get(sequence);
        if (row !== undefined) yield row;
      }
    }
  }

  #submit(batch: number, work: Work): void {
    if (this.#rows.has(work.sequence)) return;
    const { team, key } = work;
    if (key !== undefined && this.withKey(team, key) !== undefined) return;
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
      ? row.bytes + growth(row.work, work, record.task)
      : snapshotBytes(work);
    this.#put(work, row.home, bytes);
  }

  #put(work: Work, home: number, bytes: number): void {
    const old = this.#rows.get(work.sequence);
    this.#rows.set(work.sequence, { work, home, bytes });
    this.#bytes += bytes - (old?.bytes ?? 0);
    if (work.key !== undefined) {
      this.#keys.set(keyName(work.team, work.key), work.sequence);
    }
    if (old?.home === home) return;
    if (old !== undefined) this.#leaveHome(work.sequence, old.home);
    this.#enterHome(work.sequence, home);
  }

  #enterHome(sequence: number, home: number): void {
    const there = this.#homes.get(home) ?? new Set();
    there.add(sequence);
    this.#homes.set(home, there);
  }

  #leaveHome(sequence: number, home: number): void {
    const there = this.#homes.get(home);
    there?.delete(sequence);
    if (there?.size === 0) this.#homes.delete(home);
  }
}

/** Bytes that one changed task adds. */
function growth(before: Work, after: Work, index: number): number {
  const bytes = (work: Work) => {
    const task = work.tasks[index];
    return task === undefined ? 0 : taskOutputBytes(task);
  };
  return bytes(after) - bytes(before);
}

function keyName(team: string, key: string): string {
  return JSON.stringify([team, key]);
}
