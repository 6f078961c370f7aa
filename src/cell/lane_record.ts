/**
 * The records that make transactions of one lane follow one another.
 *
 * @module
 */
import type { Entry } from "../ports/store.ts";

/** Independent sequences of transactions of one cell: so many may be under way while the store takes a quarter of a second for each. */
export const LANES = 8;
/** Value of a lane's key. */
export interface LaneRecord {
  readonly fence: number;
  readonly sequence: number;
}

/** Key of a lane. */
export function laneKey(cell: string, lane: number): string {
  return `${cell}/lane/${lane}`;
}

/** Decodes a lane's record; `undefined` if it is none. */
export function laneRecordOf(entry: Entry): LaneRecord | undefined {
  try {
    return JSON.parse(entry.value) as LaneRecord;
  } catch {
    // Only holders write lanes; anything else is treated as another holder.
    return undefined;
  }
}
