/**
 * Reads publications from the store.
 *
 * @module
 */
import { err, ok, okAsync, ResultAsync, safeTry } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Publication } from "../operator_set.ts";
import type { Entry, Store } from "../ports/store.ts";
import type { PublicationFailure, ReadFailure } from "./failures.ts";
import {
  assemble,
  chunkKeys,
  decodeHead,
  type Head,
  HEAD_KEY,
  HISTORY_PREFIX,
  historyKey,
} from "./head.ts";

/** A head with the revision of its key at the store; no head at revision 0. */
export interface HeadReading {
  readonly head?: Head;
  readonly revision: number;
}

/** Reads the head in force. */
export function readHead(
  store: Store,
): ResultAsync<HeadReading, ReadFailure> {
  return readHeadAt(store, HEAD_KEY);
}

/** Reads the publication in force; `undefined` if nothing was ever published. */
export function readPublication(
  store: Store,
): ResultAsync<Publication | undefined, ReadFailure> {
  return readHead(store).andThen(({ head }) => readText(store, head));
}

/** Reads a publication of the past; `undefined` if it is not kept. */
export function readPast(
  store: Store,
  number: number,
): ResultAsync<Publication | undefined, ReadFailure> {
  return readHeadOf(store, number).andThen((head) => readText(store, head));
}

/** Reads the head of a publication of the past; `undefined` if it is not kept. */
export function readHeadOf(
  store: Store,
  number: number,
): ResultAsync<Head | undefined, ReadFailure> {
  if (number <= 0) return okAsync(undefined);
  return readHeadAt(store, historyKey(number)).map(({ head }) => head);
}

/** Reads the heads that are kept, oldest first. */
export function readHistory(
  store: Store,
): ResultAsync<readonly Head[], ReadFailure> {
  return safeTry(async function* () {
    const { entries } = yield* store.list(HISTORY_PREFIX);
    const heads: Head[] = [];
    for (const entry of entries) heads.push(yield* decodeHead(entry.value));
    return ok(heads);
  });
}

/** Reads the whole publication that a head names. */
export function readBody(
  store: Store,
  head: Head,
): ResultAsync<Publication, ReadFailure> {
  return safeTry(async function* () {
    const entries = yield* readChunks(store, head);
    const chunks: string[] = [];
    for (const entry of entries) chunks.push(yield* valueOf(entry, head));
    return assemble(head, chunks.join(""));
  });
}

function readHeadAt(
  store: Store,
  key: string,
): ResultAsync<HeadReading, ReadFailure> {
  return safeTry(async function* () {
    const entry = yield* store.get(key);
    if (entry === undefined) return ok({ revision: 0 });
    const head = yield* decodeHead(entry.value);
    return ok({ head, revision: entry.revision });
  });
}

function readText(
  store: Store,
  head: Head | undefined,
): ResultAsync<Publication | undefined, ReadFailure> {
  return head === undefined ? okAsync(undefined) : readBody(store, head);
}

function readChunks(
  store: Store,
  head: Head,
): ResultAsync<(Entry | undefined)[], StoreFailure> {
  return ResultAsync.combine(chunkKeys(head).map((key) => store.get(key)));
}

function valueOf(entry: Entry | undefined, head: Head) {
  if (entry !== undefined) return ok<string, PublicationFailure>(entry.value);
  const message = `a part of publication ${head.number} is not at the store`;
  return err<string, PublicationFailure>({ type: "textMissing", message });
}
