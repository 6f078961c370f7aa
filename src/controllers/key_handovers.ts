/**
 * Key tables that are transferred in parts from one home to the next.
 *
 * @module
 */
import type { KeyExport, KeyRow } from "../state/key_table.ts";
import type { KeyHandover } from "../wire/keys.ts";

const ROWS_PER_PART = 200;

interface IncomingTable {
  readonly fence: number;
  readonly completeSince: number;
  readonly forgottenUpTo: number;
  readonly rows: KeyRow[];
  isComplete: boolean;
}

/**
 * Key tables that have arrived, complete or in part, and are not yet merged by
 * the new home.
 */
export class KeyHandovers {
  readonly #incoming = new Map<number, IncomingTable>();

  /**
   * Stores one part; `false` if the table was not begun for this fence or is
   * complete already.
   */
  receive(part: KeyHandover): boolean {
    const { bucket, fence, completeSince, forgottenUpTo } = part;
    if (!part.more) {
      const table = { fence, completeSince, forgottenUpTo };
      this.#incoming.set(bucket, { ...table, rows: [], isComplete: false });
    }
    const incoming = this.#incoming.get(bucket);
    if (incoming?.fence !== fence || incoming.isComplete) return false;
    incoming.rows.push(...part.rows);
    incoming.isComplete = part.last;
    return true;
  }

  /**
   * Removes and returns the table of a bucket for a fence; `undefined` unless
   * the table is complete.
   */
  collect(bucket: number, fence: number): KeyExport | undefined {
    const incoming = this.#incoming.get(bucket);
    if (incoming === undefined) return undefined;
    if (incoming.fence < fence) this.#incoming.delete(bucket);
    if (incoming.fence !== fence || !incoming.isComplete) return undefined;
    this.#incoming.delete(bucket);
    return incoming;
  }
}

/** Splits a key table into the parts of a handover. */
export function splitIntoParts(
  table: KeyExport,
  to: { readonly bucket: number; readonly fence: number },
): KeyHandover[] {
  const { completeSince, forgottenUpTo, rows } = table;
  const count = Math.max(1, Math.ceil(rows.length / ROWS_PER_PART));
  return Array.from({ length: count }, (_, index) => ({
    ...to,
    completeSince,
    forgottenUpTo,
    rows: rows.slice(index * ROWS_PER_PART, (index + 1) * ROWS_PER_PART),
    more: index > 0,
    last: index === count - 1,
  }));
}
