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
  allChunkKeys,
  assemblePublication,
  decodeHead,
  type Head,
  HEAD_KEY,
  HISTORY_PREFIX,
  historyKey,
} from "./head.ts";

/** A head with the revision of its key in the store. Revision 0 and no head if the key does not exist. */
export interface HeadReading {
  readonly head?: Head;
  readonly revision: number;
}

/** Reads the active head. */
export function readHead(
  store: Store,
): ResultAsync<HeadReading, ReadFailure> {
  return readHeadFrom(store, HEAD_KEY);
}

/** Reads the active publication; `undefined` if nothing has been published. */
export function readPublication(
  store: Store,
): ResultAsync<Publication | undefined, ReadFailure> {
  return readHead(store).andThen(({ head }) =>
    readOptionalPublication(store, head)
  );
}

/** Reads a publication by its number; `undefined` if it is not in the history. */
export function readPublicationByNumber(
  store: Store,
  number: number,
): ResultAsync<Publication | undefined, ReadFailure> {
  return readHistoryHead(store, number).andThen((head) =>
    readOptionalPublication(store, head)
  );
}

/** Reads a head by its number; `undefined` if it is not in the history. */
export function readHistoryHead(
  store: Store,
  number: number,
): ResultAsync<Head | undefined, ReadFailure> {
  if (number <= 0) return okAsync(undefined);
  return readHeadFrom(store, historyKey(number)).map(({ head }) => head);
}

/** Reads all heads of the history, oldest first. */
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

/** Reads the publication of a head and verifies its hash. */
export function readPublicationByHead(
  store: Store,
  head: Head,
): ResultAsync<Publication, ReadFailure> {
  return safeTry(async function* () {
    const entries = yield* readChunks(store, head);
    const chunks: string[] = [];
    for (const entry of entries) chunks.push(yield* chunkValue(entry, head));
    return assemblePublication(head, chunks.join(""));
  });
}

function readHeadFrom(
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

function readOptionalPublication(
  store: Store,
  head: Head | undefined,
): ResultAsync<Publication | undefined, ReadFailure> {
  return head === undefined
    ? okAsync(undefined)
    : readPublicationByHead(store, head);
}

function readChunks(
  store: Store,
  head: Head,
): ResultAsync<(Entry | undefined)[], StoreFailure> {
  return ResultAsync.combine(allChunkKeys(head).map((key) => store.get(key)));
}

function chunkValue(entry: Entry | undefined, head: Head) {
  if (entry !== undefined) return ok<string, PublicationFailure>(entry.value);
  const message =
    `a chunk of publication ${head.number} is missing from the store`;
  return err<string, PublicationFailure>({ type: "textMissing", message });
}
