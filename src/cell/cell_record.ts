/**
 * Who holds the cell, as the store says.
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import type { Entry, Write } from "../ports/store.ts";

const Record = t.type({
  name: t.string,
  address: t.string,
  cores: t.number,
  boot: t.string,
  fence: t.number,
});

/** The holder by the store. */
export type CellRecord = typeof Record._A;

/** A hold on the cell. */
export interface Hold {
  readonly fence: number;
  /** Revision at which it was written. */
  readonly revision: number;
}

/** An instance that others can reach. */
export interface Member {
  readonly name: string;
  /** `host:port` for other instances. */
  readonly address: string;
  /** Processing power of its machine, cores. */
  readonly cores: number;
  /** Start of its process, Unix milliseconds, if it told. */
  readonly startedMs?: number | undefined;
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

/** Encodes the entry of an instance. */
export function encodeMember(member: Member): string {
  const { address, cores, startedMs } = member;
  return [address, cores, ...(startedMs === undefined ? [] : [startedMs])]
    .join(" ");
}

/** Decodes the entry of an instance; `undefined` if it is none. */
export function decodeMember(entry: Entry): Member | undefined {
  const name = entry.key.slice(MEMBERS_PREFIX.length);
  const parts = /^([^:\s]+:\d+) (\d+(?:\.\d+)?)(?: (\d+))?$/
    .exec(entry.value);
  if (parts === null) return undefined;
  const [, address = "", cores, startedMs] = parts;
  return {
    name,
    address,
    cores: Number(cores),
    startedMs: startedMs === undefined ? undefined : Number(startedMs),
  };
}

/** The write that makes an instance the holder; it breaks the condition of all that a former one has under way. */
export function takeover(cell: string, record: CellRecord): Write {
  return { type: "put", key: recordKey(cell), value: JSON.stringify(record) };
}
