/**
 * Who holds the cell, as the store says.
 *
 * @module
 */
import { either } from "fp-ts";
import * as t from "io-ts";
import type { Entry } from "../ports/store.ts";

const Record = t.type({
  name: t.string,
  address: t.string,
  boot: t.string,
  fence: t.number,
});

/** The holder by the store. */
export type CellRecord = typeof Record._A;

/** An instance that others can reach. */
export interface Member {
  readonly name: string;
  /** `host:port` for other instances. */
  readonly address: string;
}

/** Keys of the instances. */
export const MEMBERS_PREFIX = "members/";

/** Key of a cell's record. */
export function recordKey(cell: string): string {
  return `${cell}/holder`;
}

/** Key of the holder's sign of life. */
export function aliveKey(cell: string): string {
  return `${cell}/alive`;
}

/** Decodes a cell's record; `undefined` if it is none. */
export function decodeRecord(entry: Entry): CellRecord | undefined {
  try {
    const result = Record.decode(JSON.parse(entry.value));
    return either.isRight(result) ? result.right : undefined;
  } catch {
    // Not JSON: treated like a missing record, which the next holder replaces.
    return undefined;
  }
}

/** Decodes the entry of an instance; `undefined` if it is none. */
export function decodeMember(entry: Entry): Member | undefined {
  const name = entry.key.slice(MEMBERS_PREFIX.length);
  return /^[^:\s]+:\d+$/.test(entry.value)
    ? { name, address: entry.value }
    : undefined;
}
