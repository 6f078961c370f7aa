/**
 * Parts of the changes that a watch tells of.
 *
 * @module
 */
import type { Change } from "../ports/store.ts";

/** Bytes of the values. */
export function sizeOf(changes: readonly Change[]): number {
  return changes.reduce(
    (sum, change) =>
      sum + (change.type === "put" ? change.entry.value.length : 0),
    0,
  );
}

/** Key that was changed. */
export function keyOf(change: Change): string {
  return change.type === "put" ? change.entry.key : change.key;
}

/** Revision of the change. */
export function revisionOf(change: Change): number {
  return change.type === "put" ? change.entry.revision : change.revision;
}
