/**
 * Publishes operator sets by compare-and-swap on the publication that the
 * operator edited. After a lost response, the `publishId` in the history tells
 * whether the write took effect.
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
import type { CommitResult, Store, Write } from "../ports/store.ts";
import type { PublishFailure } from "./failures.ts";
import {
  allChunkKeys,
  CHUNK_BYTES,
  chunkKey,
  createHead,
  type Head,
  HEAD_KEY,
  historyKey,
  splitIntoChunks,
} from "./head.ts";
import { type HeadReading, readHead, readHistoryHead } from "./read.ts";

export {
  readHistory,
  readPublication,
  readPublicationByNumber as readPast,
} from "./read.ts";

/** Number of heads of publications in the history, including the active one. */
export const HISTORY_LENGTH = 50;

/** Maximum number of chunks into which the text of a set is divided. */
const MAX_CHUNKS = 16;

/** Largest number of attempts to publish while the store is unreachable or busy. */
const MAX_ATTEMPTS = 6;
const RETRY_BACKOFF: Backoff = { initialMs: 50, maxMs: 2000 };

/** A request to publish a set. */
export interface PublishRequest {
  /** Number of the publication that the operator edited; 0 if none. */
  readonly base: number;
  /** INI text of the set. */
  readonly text: string;
  readonly operator: string;
  /** Unique to this request and makes it idempotent: a repeated request returns the same publication. */
  readonly publishId: string;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
}

/** Publishes a validated set under the next number. Retries while the store is unreachable or busy. */
export function publish(
  store: Store,
  request: PublishRequest,
): ResultAsync<Publication, PublishFailure> {
  if (splitIntoChunks(request.text).length > MAX_CHUNKS) {
    const limitBytes = MAX_CHUNKS * CHUNK_BYTES;
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
  // Whether any response was lost: a write may have taken effect.
  let lost = false;
  for (let tries = 1;; tries++) {
    const result = await attemptPublish(store, request);
    if (result.isOk() || !isTransient(result.error)) return result;
    lost ||= result.error.type === "storeAnswerLost";
    if (tries === MAX_ATTEMPTS) return lost ? err(ambiguous(request)) : result;
    await sleep(clock, backoffMs(RETRY_BACKOFF, tries, { random }));
  }
}

function attemptPublish(
  store: Store,
  request: PublishRequest,
): ResultAsync<Publication, PublishFailure> {
  return safeTry(async function* () {
    const before = yield* readHead(store);
    const published = yield* findPublished(store, { current: before, request });
    if (published !== undefined) return ok(published);
    const publication = nextPublication(request);
    const commit = yield* writePublication(store, {
      publication,
      replaced: before,
    });
    if (commit.type === "committed") return ok(publication);
    const after = yield* readHead(store);
    const concurrent = yield* findPublished(store, { current: after, request })
      .orElse((failure) =>
        deleteChunksOnConflict(store, { publication, failure })
      );
    return concurrent === undefined ? err(unexplainedConflict) : ok(concurrent);
  });
}

/** The head in the store, and the request to compare it with. */
interface HeadComparison {
  readonly current: HeadReading;
  readonly request: PublishRequest;
}

/**
 * Finds out whether the request has been published already. Returns the publication if it has, `undefined` if the base
 * is still active, and a `publishConflict` if another request was published in its place. Fails with
 * `publishUnsettled` if the history no longer contains the publication that followed the base.
 */
function findPublished(
  store: Store,
  comparison: HeadComparison,
): ResultAsync<Publication | undefined, PublishFailure> {
  const { current, request } = comparison;
  const { head } = current;
  const number = head?.number ?? 0;
  if (number === request.base) return okAsync(undefined);
  if (head === undefined || number < request.base) {
    return errAsync(conflict(request, head));
  }
  return readHistoryHead(store, request.base + 1).andThen((successor) => {
    if (successor === undefined) return err(ambiguous(request));
    if (successor.publishId !== request.publishId) {
      return err(conflict(request, head));
    }
    return ok(publicationOf(successor, request.text));
  });
}

/** A publication, and the head that it replaces. */
interface PublicationWrite {
  readonly publication: Publication;
  readonly replaced: HeadReading;
}

/** Writes the text of the set and swaps the head. The last chunk of the text is part of the same transaction as the head. */
function writePublication(
  store: Store,
  request: PublicationWrite,
): ResultAsync<CommitResult, PublishFailure> {
  return safeTry(async function* () {
    const { publication, replaced } = request;
    const puts = chunkWrites(publication);
    for (const put of puts.slice(0, -1)) yield* store.commit([], [put]);
    const expired = yield* readHistoryHead(
      store,
      publication.number - HISTORY_LENGTH,
    );
    const commit = yield* store.commit(
      [{ key: HEAD_KEY, revision: replaced.revision }],
      [
        ...puts.slice(-1),
        ...headWrites(publication),
        ...publicationDeletes(expired),
      ],
    );
    return ok(commit);
  });
}

function chunkWrites(publication: Publication): Write[] {
  return splitIntoChunks(publication.text).map((value, index) => ({
    type: "put",
    key: chunkKey(publication.publishId, index),
    value,
  }));
}

function headWrites(publication: Publication): Write[] {
  const value = JSON.stringify(createHead(publication));
  return [
    { type: "put", key: historyKey(publication.number), value },
    { type: "put", key: HEAD_KEY, value },
  ];
}

function publicationDeletes(head: Head | undefined): Write[] {
  if (head === undefined) return [];
  return [historyKey(head.number), ...allChunkKeys(head)]
    .map((key) => ({ type: "delete", key }));
}

/**
 * Deletes the chunks of a publication if it failed because another one was
 * published first (`publishConflict`). Always returns `loss.failure`.
 */
function deleteChunksOnConflict(
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

function publicationOf(head: Head, text: string): Publication {
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

const unexplainedConflict: PublishFailure = {
  type: "storeProtocol",
  message: "the store rejected the swap of a head that has not changed",
};

function ambiguous(request: PublishRequest): PublishFailure {
  return {
    type: "publishUnsettled",
    message: "whether the set was published is unknown",
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
    : `the set was edited from publication ${base}, but ${number} is active`;
  return { type: "publishConflict", message, base, number, operator, at };
}
