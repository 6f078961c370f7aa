/**
 * Reads a whole segment and takes ownership of its head.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  Result,
  type ResultAsync,
  safeTry,
} from "neverthrow";
import type { Entry, Store } from "../ports/store.ts";
import { type OpenFailure, segmentLost } from "./failures.ts";
import { batchGroups, batchKey, headKey } from "./layout.ts";
import {
  decodeBatch,
  decodeHead,
  encodeHead,
  type Head,
  JOURNAL_VERSION,
  type JournalRecord,
} from "./records.ts";

/** Segment to open, with its new owner. */
export interface Claim {
  readonly segment: string;
  readonly owner: string;
  /** Fence of the owner, from the ownership map. */
  readonly fence: number;
  /** Returns a unique id for a write. */
  readonly newWriteId: () => string;
}

/** A decoded batch with its size in the store. */
export interface ReplayedBatch {
  readonly number: number;
  readonly bytes: number;
  readonly records: readonly JournalRecord[];
}

/** A claimed segment with its contents. */
export interface ClaimedSegment {
  readonly head: Head;
  /** Store revision of the head. */
  readonly revision: number;
  readonly batches: readonly ReplayedBatch[];
}

/** Reads every batch, then writes the claimant into the head if the head has not changed since. */
export function claimSegment(
  store: Store,
  claim: Claim,
): ResultAsync<ClaimedSegment, OpenFailure> {
  return safeTry(async function* () {
    for (let attempts = 0; attempts < MAX_CLAIM_ATTEMPTS; attempts++) {
      const result = await readSegment(store, claim);
      const isLast = attempts === MAX_CLAIM_ATTEMPTS - 1;
      if (!isLast && isBatchMissing(result)) continue;
      const read = yield* result;
      const claimed = yield* putClaim(store, claim, read);
      if (claimed !== undefined) return ok(claimed);
    }
    return err(segmentLost(claim.segment));
  });
}

const MAX_CLAIM_ATTEMPTS = 5;

/** Whether a batch is missing: a compaction may have deleted it after the head was read. */
function isBatchMissing(result: Result<SegmentContents, OpenFailure>): boolean {
  return result.isErr() && result.error.type === "batchMissing";
}

interface SegmentContents {
  readonly head: Head;
  readonly revision: number;
  readonly batches: readonly ReplayedBatch[];
}

/** Reads the head, then the batches. A change in between makes the claim's commit fail. */
function readSegment(
  store: Store,
  claim: Claim,
): ResultAsync<SegmentContents, OpenFailure> {
  return safeTry(async function* () {
    const entry = yield* store.get(headKey(claim.segment));
    const head = entry === undefined
      ? newHead(claim)
      : yield* decodeHead(entry.value);
    if (isOwnedByAnother(head, claim)) return err(segmentLost(claim.segment));
    const batches = yield* readBatches(store, claim.segment, head);
    return ok({ head, revision: entry?.revision ?? 0, batches });
  });
}

/** Reads and decodes the batches in groups, to limit the size of answers and the time between pauses. */
function readBatches(
  store: Store,
  segment: string,
  head: Head,
): ResultAsync<readonly ReplayedBatch[], OpenFailure> {
  return safeTry(async function* () {
    const batches: ReplayedBatch[] = [];
    for (const group of batchGroups(segment, head)) {
      const { entries } = yield* store.list(group.prefix);
      batches.push(...yield* decodeGroup(segment, group.numbers, entries));
    }
    return ok(batches);
  });
}

function decodeGroup(
  segment: string,
  numbers: readonly number[],
  entries: readonly Entry[],
): Result<readonly ReplayedBatch[], OpenFailure> {
  const byKey = new Map(entries.map((entry) => [entry.key, entry]));
  return Result.combine(
    numbers.map((number) =>
      readBatch(number, byKey.get(batchKey(segment, number)))
    ),
  );
}

function isOwnedByAnother(head: Head, claim: Claim): boolean {
  if (head.fence > claim.fence) return true;
  return head.fence === claim.fence && head.owner !== claim.owner;
}

function readBatch(
  number: number,
  entry: Entry | undefined,
): Result<ReplayedBatch, OpenFailure> {
  if (entry === undefined) {
    return err({ type: "batchMissing", message: `batch ${number} is missing` });
  }
  return decodeBatch(entry.value).map(({ records }) => ({
    number,
    bytes: Buffer.byteLength(entry.value),
    records,
  }));
}

function putClaim(
  store: Store,
  claim: Claim,
  read: SegmentContents,
): ResultAsync<ClaimedSegment | undefined, OpenFailure> {
  const { owner, fence, segment } = claim;
  const head = { ...read.head, owner, fence, write: claim.newWriteId() };
  const key = headKey(segment);
  return store.commit(
    [{ key, revision: read.revision }],
    [{ type: "put", key, value: encodeHead(head) }],
  ).map((commit) => {
    if (commit.type === "conflict") return undefined;
    return { head, revision: commit.revision, batches: read.batches };
  }).orElse((failure) =>
    failure.type === "storeAnswerLost" ? okAsync(undefined) : errAsync(failure)
  );
}

function newHead(claim: Claim): Head {
  return {
    version: JOURNAL_VERSION,
    owner: claim.owner,
    fence: claim.fence,
    first: 0,
    next: 0,
    sequence: 0,
    write: "",
  };
}
