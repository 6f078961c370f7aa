/**
 * Reads a whole segment and claims its head.
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

/** Who opens which segment. */
export interface Claim {
  readonly segment: string;
  readonly owner: string;
  /** Fencing number of the owner's grant. */
  readonly fence: number;
  /** Gives an id that no other write has. */
  readonly newWriteId: () => string;
}

/** A batch that was read back. */
export interface ReplayedBatch {
  readonly number: number;
  readonly bytes: number;
  readonly records: readonly JournalRecord[];
}

/** A segment that was claimed. */
export interface Claimed {
  readonly head: Head;
  /** Revision of the head. */
  readonly revision: number;
  readonly batches: readonly ReplayedBatch[];
}

/** Reads every batch and puts the claimant into the head, if nobody wrote in between. */
export function claimSegment(
  store: Store,
  claim: Claim,
): ResultAsync<Claimed, OpenFailure> {
  return safeTry(async function* () {
    for (let tries = 0; tries < CLAIM_TRIES; tries++) {
      const result = await readSegment(store, claim);
      const isLast = tries === CLAIM_TRIES - 1;
      if (!isLast && isBatchMissing(result)) continue;
      const read = yield* result;
      const claimed = yield* putClaim(store, claim, read);
      if (claimed !== undefined) return ok(claimed);
    }
    return err(segmentLost(claim.segment));
  });
}

const CLAIM_TRIES = 5;

/** A compaction may have removed the batch since the head was read. */
function isBatchMissing(result: Result<Reading, OpenFailure>): boolean {
  return result.isErr() && result.error.type === "batchMissing";
}

interface Reading {
  readonly head: Head;
  readonly revision: number;
  readonly batches: readonly ReplayedBatch[];
}

/** Reads the head, then the batches; a change in between makes the claim fail. */
function readSegment(
  store: Store,
  claim: Claim,
): ResultAsync<Reading, OpenFailure> {
  return safeTry(async function* () {
    const entry = yield* store.get(headKey(claim.segment));
    const head = entry === undefined
      ? newHead(claim)
      : yield* decodeHead(entry.value);
    if (isTaken(head, claim)) return err(segmentLost(claim.segment));
    const batches = yield* readBatches(store, claim.segment, head);
    return ok({ head, revision: entry?.revision ?? 0, batches });
  });
}

/** Reads and decodes the batches some at a time, which bounds answers and pauses. */
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

function isTaken(head: Head, claim: Claim): boolean {
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
  read: Reading,
): ResultAsync<Claimed | undefined, OpenFailure> {
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
