/**
 * Accessors of the changes that a watch delivers.
 *
 * @module
 */
import type { Change } from "../ports/store.ts";

/** Total length of the values. */
export function totalValueLength(changes: readonly Change[]): number {
  return changes.reduce(
    (sum, change) =>
      sum + (change.type === "put" ? change.entry.value.length : 0),
    0,
  );
}

/** Key of the change. */
export function keyOfChange(change: Change): string {
  return change.type === "put" ? change.entry.key : change.key;
}

/** Revision of the change. */
export function revisionOfChange(change: Change): number {
  return change.type === "put" ? change.entry.revision : change.revision;
}
