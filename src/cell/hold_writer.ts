/**
 * Reads and writes of the record that says who holds the cell.
 *
 * @module
 */
import type { Log } from "../logger.ts";
import type { Entry, Write } from "../ports/store.ts";
import {
  aliveKey,
  type CellRecord,
  decodeRecord,
  type Hold,
  type Member,
  recordKey,
  takeover,
} from "./cell_record.ts";
import type { CellStore } from "./ports.ts";

/** A record with its revision. */
export interface KnownRecord {
  readonly record: CellRecord;
  readonly revision: number;
}

/** What came of a write. */
export type HoldOutcome =
  /** The hold is this process's. */
  | { readonly type: "held"; readonly known: KnownRecord }
  /** Somebody else's record stands there. */
  | { readonly type: "replaced"; readonly known: KnownRecord }
  /** The store did not answer, or not with a record. */
  | { readonly type: "failed" };

/** What the writer needs. */
export interface HoldWriterOptions {
  readonly cell: string;
  readonly self: Member;
  readonly boot: string;
  readonly store: CellStore;
  readonly log: Log;
}

/** Conditional writes of one process. */
export class HoldWriter {
  readonly #options: HoldWriterOptions;

  constructor(options: HoldWriterOptions) {
    this.#options = options;
  }

  /** The record in the store; `undefined` if there is none or the store does not answer. */
  async read(): Promise<KnownRecord | undefined> {
    const { store, cell, log } = this.#options;
    const result = await store.get(recordKey(cell));
    if (result.isOk()) return knownOf(result.value);
    log.warn("hold.unread", { reason: result.error.message });
    return undefined;
  }

  /** Takes the cell if its record still has `revision` (0: there is none). */
  async take(fence: number, revision: number): Promise<HoldOutcome> {
    const { cell, self, boot } = this.#options;
    const record: CellRecord = { ...self, boot, fence };
    return await this.#write([takeover(cell, record)], { revision, record });
  }

  /** Writes a sign of life if the hold is still this process's. */
  async confirm({ fence, revision }: Hold): Promise<HoldOutcome> {
    const { cell, self, boot } = this.#options;
    const record: CellRecord = { ...self, boot, fence };
    const sign: Write = {
      type: "put",
      key: aliveKey(cell),
      value: String(fence),
    };
    return await this.#write([sign], { revision, record });
  }

  async #write(
    writes: readonly Write[],
    { revision, record }: {
      readonly revision: number;
      readonly record: CellRecord;
    },
  ): Promise<HoldOutcome> {
    const { store, cell, log } = this.#options;
    const key = recordKey(cell);
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
        known: { record, revision: result.value.revision },
      };
    }
    const entry = result.value.entries?.find((one) => one.key === key);
    const known = knownOf(entry);
    if (known === undefined) return { type: "failed" };
    // An earlier try got through and its answer was lost.
    const mine = known.record.boot === record.boot &&
      known.record.fence === record.fence;
    return { type: mine ? "held" : "replaced", known };
  }
}

function knownOf(entry: Entry | undefined): KnownRecord | undefined {
  const record = entry && decodeRecord(entry);
  if (entry === undefined || record === undefined) return undefined;
  return { record, revision: entry.revision };
}
