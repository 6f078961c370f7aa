/**
 * Reads and writes a cell's leader record in the store.
 *
 * @module
 */
import type { Log } from "../logger.ts";
import type { Entry, Write } from "../ports/store.ts";
import {
  confirmationKey,
  decodeLeaderRecord,
  type LeaderRecord,
  leaderRecordKey,
  leaderRecordWrite,
  type LeaderTerm,
  type Member,
} from "./leader_record.ts";
import type { CellStore } from "./ports.ts";

/** A leader record with the store revision at which it was written. */
export interface VersionedRecord {
  readonly record: LeaderRecord;
  readonly revision: number;
}

/** Outcome of a conditional write. */
export type RecordWriteOutcome =
  /** This process leads; `stored` is its record. */
  | { readonly type: "held"; readonly stored: VersionedRecord }
  /** Another process leads; `stored` is its record. */
  | { readonly type: "replaced"; readonly stored: VersionedRecord }
  /** The store did not answer, or its record is missing or malformed. */
  | { readonly type: "failed" };

/** Dependencies of {@linkcode LeaderRecordStore}. */
export interface LeaderRecordStoreOptions {
  readonly cell: string;
  readonly self: Member;
  /** Identifier of this process start, different after each restart. */
  readonly boot: string;
  readonly store: CellStore;
  readonly log: Log;
}

/** Conditional writes of one process to the leader record. */
export class LeaderRecordStore {
  readonly #options: LeaderRecordStoreOptions;

  constructor(options: LeaderRecordStoreOptions) {
    this.#options = options;
  }

  /** Reads the record; `undefined` if it is missing or malformed, or if the store does not answer. */
  async read(): Promise<VersionedRecord | undefined> {
    const { store, cell, log } = this.#options;
    const result = await store.get(leaderRecordKey(cell));
    if (result.isOk()) return decodeVersioned(result.value);
    log.warn("hold.unread", { reason: result.error.message });
    return undefined;
  }

  /** Writes this process's record with a new fence if the stored record still has `revision` (0: no record). */
  async acquire(fence: number, revision: number): Promise<RecordWriteOutcome> {
    const { cell, self, boot } = this.#options;
    const record: LeaderRecord = { ...self, boot, fence };
    return await this.#write([leaderRecordWrite(cell, record)], {
      revision,
      record,
    });
  }

  /** Confirms a term by a write that succeeds only while the leader record is unchanged. */
  async confirm({ fence, revision }: LeaderTerm): Promise<RecordWriteOutcome> {
    const { cell, self, boot } = this.#options;
    const record: LeaderRecord = { ...self, boot, fence };
    const confirmation: Write = {
      type: "put",
      key: confirmationKey(cell),
      value: String(fence),
    };
    return await this.#write([confirmation], { revision, record });
  }

  async #write(
    writes: readonly Write[],
    { revision, record }: {
      readonly revision: number;
      readonly record: LeaderRecord;
    },
  ): Promise<RecordWriteOutcome> {
    const { store, cell, log } = this.#options;
    const key = leaderRecordKey(cell);
    const result = await store.commit([{ key, revision }], writes);
    if (result.isErr()) {
      log.warn("hold.unwritten", {
        fence: record.fence,
        failure: result.error.type,
        reason: result.error.message,
      });
      return { type: "failed" };
    }
    if (result.value.type === "committed") {
      return {
        type: "held",
        stored: { record, revision: result.value.revision },
      };
    }
    const entry = result.value.entries?.find((entry) => entry.key === key);
    const stored = decodeVersioned(entry);
    if (stored === undefined) return { type: "failed" };
    // Own boot and fence: an earlier write was committed but its answer was lost.
    const isOwn = stored.record.boot === record.boot &&
      stored.record.fence === record.fence;
    return { type: isOwn ? "held" : "replaced", stored };
  }
}

function decodeVersioned(
  entry: Entry | undefined,
): VersionedRecord | undefined {
  const record = entry && decodeLeaderRecord(entry);
  if (entry === undefined || record === undefined) return undefined;
  return { record, revision: entry.revision };
}
