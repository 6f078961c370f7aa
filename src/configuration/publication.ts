/**
 * Publishes the operators' set by compare-and-swap on the publication that
 * the operator edited. A lost answer is settled by looking for the publish id.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  ResultAsync,
  safeTry,
} from "neverthrow";
import { type Backoff, backoffMs } from "../backoff.ts";
import { type Clock, sleep } from "../clock.ts";
import type { Publication } from "../operator_set.ts";
import type { Commit, Store, Write } from "../ports/store.ts";
import type { PublishFailure } from "./failures.ts";
import {
  CHUNK_BYTES,
  chunkKey,
  chunkKeys,
  type Head,
  HEAD_KEY,
  headOf,
  historyKey,
  splitText,
} from "./head.ts";
import { type HeadReading, readHead, readHeadOf } from "./read.ts";

export { readHistory, readPast, readPublication } from "./read.ts";

/** Heads that the history keeps, the one in force among them. */
export const HISTORY_KEPT = 50;

/** Chunks of the largest text. */
const MOST_CHUNKS = 16;

const ATTEMPTS = 6;
const RETRY: Backoff = { firstMs: 50, longestMs: 2000 };

/** What an operator wants published. */
export interface PublishRequest {
  /** Number of the publication that the operator edited; 0 if none. */
  readonly base: number;
  readonly text: string;
  readonly operator: string;
  /** Unique to this request; the same again gives the same publication. */
  readonly publishId: string;
  readonly clock: Clock;
  /** From 0 to below 1. */
  readonly random?: () => number;
}

/** Publishes a checked set; the number grows by one. */
export function publish(
  store: Store,
  request: PublishRequest,
): ResultAsync<Publication, PublishFailure> {
  if (splitText(request.text).length > MOST_CHUNKS) {
    const limitBytes = MOST_CHUNKS * CHUNK_BYTES;
    const message = `the set is larger than ${limitBytes} bytes`;
    return errAsync({ type: "textTooLarge", message, limitBytes });
  }
  return new ResultAsync(publishWithRetries(store, request));
}

async function publishWithRetries(
  store: Store,
  request: PublishRequest,
): Promise<Result<Publication, PublishFailure>> {
  const { clock, random = Math.random } = request;
  let lost = false;
  for (let attempt = 1;; attempt++) {
    const result = await attemptPublish(store, request);
    if (result.isOk() || !isTransient(result.error)) return result;
    lost ||= result.error.type === "storeAnswerLost";
    if (attempt === ATTEMPTS) return lost ? err(unsettled(request)) : result;
    await sleep(clock, backoffMs(RETRY, attempt, { random }));
  }
}

function attemptPublish(
  store: Store,
  request: PublishRequest,
): ResultAsync<Publication, PublishFailure> {
  return safeTry(async function* () {
    const before = yield* readHead(store);
    const settled = yield* settle(store, { reading: before, request });
    if (settled !== undefined) return ok(settled);
    const publication = nextPublication(request);
    const commit = yield* write(store, { publication, before });
    if (commit.type === "committed") return ok(publication);
    const after = yield* readHead(store);
    const earlier = yield* settle(store, { reading: after, request })
      .orElse((failure) => discardText(store, { publication, failure }));
    return earlier === undefined ? err(staleHead) : ok(earlier);
  });
}

interface Settlement {
  readonly reading: HeadReading;
  readonly request: PublishRequest;
}

/** The own publication if it is in force or was; `undefined` if the base is still in force. */
function settle(
  store: Store,
  settlement: Settlement,
): ResultAsync<Publication | undefined, PublishFailure> {
  const { reading, request } = settlement;
  const { head } = reading;
  const number = head?.number ?? 0;
  if (number === request.base) return okAsync(undefined);
  if (head === undefined || number < request.base) {
    return errAsync(conflict(request, head));
  }
  return readHeadOf(store, request.base + 1).andThen((successor) => {
    if (successor === undefined) return err(unsettled(request));
    if (successor.publishId !== request.publishId) {
      return err(conflict(request, head));
    }
    return ok(published(successor, request.text));
  });
}

interface Writing {
  readonly publication: Publication;
  readonly before: HeadReading;
}

/** Writes the text and swaps the head; the last chunk goes in the same commit as the head. */
function write(
  store: Store,
  writing: Writing,
): ResultAsync<Commit, PublishFailure> {
  return safeTry(async function* () {
    const { publication, before } = writing;
    const puts = chunkWrites(publication);
    for (const put of puts.slice(0, -1)) yield* store.commit([], [put]);
    const expired = yield* readHeadOf(store, publication.number - HISTORY_KEPT);
    const commit = yield* store.commit(
      [{ key: HEAD_KEY, revision: before.revision }],
      [...puts.slice(-1), ...headWrites(publication), ...deletions(expired)],
    );
    return ok(commit);
  });
}

function chunkWrites(publication: Publication): Write[] {
  return splitText(publication.text).map((value, index) => ({
    type: "put",
    key: chunkKey(publication.publishId, index),
    value,
  }));
}

function headWrites(publication: Publication): Write[] {
  const value = JSON.stringify(headOf(publication));
  return [
    { type: "put", key: historyKey(publication.number), value },
    { type: "put", key: HEAD_KEY, value },
  ];
}

function deletions(head: Head | undefined): Write[] {
  if (head === undefined) return [];
  return [historyKey(head.number), ...chunkKeys(head)]
    .map((key) => ({ type: "delete", key }));
}

/** Removes the chunks of a publication that lost the race. */
function discardText(
  store: Store,
  loss: { readonly publication: Publication; readonly failure: PublishFailure },
): ResultAsync<never, PublishFailure> {
  const { publication, failure } = loss;
  const chunks = chunkWrites(publication).slice(0, -1);
  if (failure.type !== "publishConflict" || chunks.length === 0) {
    return errAsync(failure);
  }
  const writes = chunks.map(({ key }): Write => ({ type: "delete", key }));
  return store.commit([], writes)
    .orElse(() => ok(undefined))
    .andThen(() => err(failure));
}

function nextPublication(request: PublishRequest): Publication {
  const { base, publishId, operator, text, clock } = request;
  const at = clock.now().toISOString();
  return { number: base + 1, publishId, operator, at, text };
}

function published(head: Head, text: string): Publication {
  const { number, publishId, operator, at } = head;
  return { number, publishId, operator, at, text };
}

function isTransient(failure: PublishFailure): boolean {
  switch (failure.type) {
    case "storeUnreachable":
    case "storeAnswerLost":
    case "storeBusy":
      return true;
    default:
      return false;
  }
}

const staleHead: PublishFailure = {
  type: "storeProtocol",
  message: "the store refused to swap a head that it still shows",
};

function unsettled(request: PublishRequest): PublishFailure {
  return {
    type: "publishUnsettled",
    message: "the store does not say whether the set came into force",
    publishId: request.publishId,
  };
}

function conflict(
  request: PublishRequest,
  head: Head | undefined,
): PublishFailure {
  const { base } = request;
  const { number = 0, operator = "", at = "" } = head ?? {};
  const message = head === undefined
    ? `the set was edited from publication ${base}, but none is published`
    : `the set was edited from publication ${base}, but ${number} is in force`;
  return { type: "publishConflict", message, base, number, operator, at };
}
