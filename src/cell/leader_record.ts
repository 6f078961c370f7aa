/**
 * The record in the store that names a cell's leader, and the entries of the
 * instances.
 *
 * @module
 */
import * as either from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import type { Entry, Write } from "../ports/store.ts";

const LeaderRecordCodec = t.type({
  name: t.string,
  address: t.string,
  cores: t.number,
  boot: t.string,
  fence: t.number,
});

/** The leader of a cell, as stored. */
export type LeaderRecord = typeof LeaderRecordCodec._A;

/** A term: the period in which one process leads a cell, identified by its fence. */
export interface LeaderTerm {
  readonly fence: number;
  /** Store revision at which the leader record was written. */
  readonly revision: number;
}

/** An instance as other instances see it. */
export interface Member {
  readonly name: string;
  /** `host:port` for calls of other instances. */
  readonly address: string;
  /** Processor cores of its machine; may be a fraction. */
  readonly cores: number;
  /** Start of its process, Unix milliseconds; `undefined` if not reported. */
  readonly startedMs?: number | undefined;
}

/** Key prefix of the instances' entries. */
export const MEMBER_KEY_PREFIX = "members/";

/** Key of a cell's leader record. */
export function leaderRecordKey(cell: string): string {
  return `${cell}/holder`;
}

/** Key that the leader writes to confirm its term. */
export function confirmationKey(cell: string): string {
  return `${cell}/alive`;
}

/** Decodes a cell's leader record; `undefined` if the value is malformed. */
export function decodeLeaderRecord(entry: Entry): LeaderRecord | undefined {
  try {
    const result = LeaderRecordCodec.decode(JSON.parse(entry.value));
    return either.isRight(result) ? result.right : undefined;
  } catch {
    // Invalid JSON is treated like a missing record; the next leader overwrites it.
    return undefined;
  }
}

/** Encodes the value of an instance's entry: address, cores and start time, separated by spaces. */
export function encodeMember(member: Member): string {
  const { address, cores, startedMs } = member;
  return [address, cores, ...(startedMs === undefined ? [] : [startedMs])]
    .join(" ");
}

/** Decodes the entry of an instance; `undefined` if the value is malformed. */
export function decodeMember(entry: Entry): Member | undefined {
  const name = entry.key.slice(MEMBER_KEY_PREFIX.length);
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

/**
 * The write that makes an instance leader. All writes of a leader are
 * conditional on this record, so those of the former leader that are still in
 * flight fail.
 */
export function leaderRecordWrite(cell: string, record: LeaderRecord): Write {
  return {
    type: "put",
    key: leaderRecordKey(cell),
    value: JSON.stringify(record),
  };
}
