/**
 * Parts of key memories on their way from one home to the next.
 *
 * @module
 */
import type { KeyExport, KeyRow } from "../state/key_memory.ts";
import type { KeyHandover } from "../wire/keys.ts";

const PART_ROWS = 200;

interface Arriving {
  readonly fence: number;
  readonly completeSince: number;
  readonly forgottenUpTo: number;
  readonly rows: KeyRow[];
  isWhole: boolean;
}

/** Memories that have arrived and wait to be taken up. */
export class KeyHandovers {
  readonly #arriving = new Map<number, Arriving>();

  /** Takes one part; `false` if an earlier one is missing. */
  take(part: KeyHandover): boolean {
    const { bucket, fence, completeSince, forgottenUpTo } = part;
    if (!part.more) {
      const known = { fence, completeSince, forgottenUpTo };
      this.#arriving.set(bucket, { ...known, rows: [], isWhole: false });
    }
    const arriving = this.#arriving.get(bucket);
    if (arriving?.fence !== fence || arriving.isWhole) return false;
    arriving.rows.push(...part.rows);
    arriving.isWhole = part.last;
    return true;
  }

  /** Gives out the memory of a bucket for a grant; `undefined` unless it is whole. */
  collect(bucket: number, fence: number): KeyExport | undefined {
    const arriving = this.#arriving.get(bucket);
    if (arriving === undefined) return undefined;
    if (arriving.fence < fence) this.#arriving.delete(bucket);
    if (arriving.fence !== fence || !arriving.isWhole) return undefined;
    this.#arriving.delete(bucket);
    return arriving;
  }
}

/** Cuts a memory into the parts of a handover. */
export function partsOf(
  memory: KeyExport,
  to: { readonly bucket: number; readonly fence: number },
): KeyHandover[] {
  const { completeSince, forgottenUpTo, rows } = memory;
  const count = Math.max(1, Math.ceil(rows.length / PART_ROWS));
  return Array.from({ length: count }, (_, index) => ({
    ...to,
    completeSince,
    forgottenUpTo,
    rows: rows.slice(index * PART_ROWS, (index + 1) * PART_ROWS),
    more: index > 0,
    last: index === count - 1,
  }));
}
