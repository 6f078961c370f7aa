/**
 * Records of the journal of deferred work, and their text form: a batch is a
 * header line followed by one JSON line per record.
 *
 * @module
 */
import { isLeft } from "fp-ts/lib/Either.js";
import * as t from "io-ts";
import { err, ok, Result } from "neverthrow";

/** Version of the text form written by this release. */
export const JOURNAL_VERSION = 1;

const parkCause = t.keyof({
  attemptsSpent: null,
  notIdempotent: null,
  outcomeUnknown: null,
});

/** Reason why a task is parked for an operator and not retried automatically. */
export type ParkCause = t.TypeOf<typeof parkCause>;

const waitingTask = t.intersection([
  t.type({ type: t.literal("waiting"), attempts: t.number }),
  t.partial({ checkpoint: t.string }),
]);

const runningTask = t.intersection([
  t.type({
    type: t.literal("running"),
    attempts: t.number,
    attempt: t.string,
    worker: t.string,
    fence: t.number,
    since: t.number,
  }),
  t.partial({ checkpoint: t.string }),
]);

const succeededTask = t.intersection([
  t.type({ type: t.literal("succeeded") }),
  t.partial({ result: t.string, omittedBytes: t.number }),
]);

const parkedTask = t.intersection([
  t.type({
    type: t.literal("parked"),
    attempts: t.number,
    cause: parkCause,
    detail: t.string,
  }),
  t.partial({ worker: t.string }),
]);

const cancelledTask = t.type({ type: t.literal("cancelled") });

const taskCodec = t.union([
  waitingTask,
  runningTask,
  succeededTask,
  parkedTask,
  cancelledTask,
]);

/** State of one task. */
export type Task = Readonly<t.TypeOf<typeof taskCodec>>;

/** A task whose attempt was written to the journal before its start and has not completed. */
export type RunningTask = Readonly<t.TypeOf<typeof runningTask>>;

const outcomeCodec = t.union([
  t.intersection([
    t.type({ type: t.literal("succeeded") }),
    t.partial({ result: t.string, omittedBytes: t.number }),
  ]),
  t.type({ type: t.literal("failed"), detail: t.string }),
  t.intersection([
    t.type({ type: t.literal("stopped") }),
    t.partial({ checkpoint: t.string }),
  ]),
  t.type({ type: t.literal("notStarted") }),
  t.type({ type: t.literal("lost") }),
]);

/** Outcome of an attempt; `lost` if it can't be determined. */
export type AttemptOutcome = Readonly<t.TypeOf<typeof outcomeCodec>>;

const workCodec = t.intersection([
  t.type({
    sequence: t.number,
    team: t.string,
    workload: t.string,
    payload: t.string,
    gang: t.boolean,
    submittedAt: t.number,
    resumes: t.readonlyArray(t.string),
    tasks: t.readonlyArray(taskCodec),
  }),
  t.partial({ key: t.string, cancelledAt: t.number, finishedAt: t.number }),
]);

/** A submission with all its tasks. */
export type Work = Readonly<t.TypeOf<typeof workCodec>>;

const submittedRecord = t.intersection([
  t.type({
    type: t.literal("submitted"),
    work: t.number,
    team: t.string,
    workload: t.string,
    payload: t.string,
    count: t.number,
    gang: t.boolean,
    at: t.number,
  }),
  t.partial({ key: t.string }),
]);

const attemptRecord = t.type({
  type: t.literal("attempt"),
  work: t.number,
  task: t.number,
  attempt: t.string,
  worker: t.string,
  fence: t.number,
  at: t.number,
});

const endedRecord = t.type({
  type: t.literal("ended"),
  work: t.number,
  task: t.number,
  attempt: t.string,
  outcome: outcomeCodec,
  at: t.number,
});

const parkedRecord = t.intersection([
  t.type({
    type: t.literal("parked"),
    work: t.number,
    task: t.number,
    cause: parkCause,
    detail: t.string,
    at: t.number,
  }),
  t.partial({ worker: t.string }),
]);

const cancelledRecord = t.type({
  type: t.literal("cancelled"),
  works: t.readonlyArray(t.number),
  at: t.number,
});

const resumedRecord = t.type({
  type: t.literal("resumed"),
  work: t.number,
  by: t.string,
  at: t.number,
});

const snapshotRecord = t.type({
  type: t.literal("snapshot"),
  state: workCodec,
});

const recordCodec = t.union([
  submittedRecord,
  attemptRecord,
  endedRecord,
  parkedRecord,
  cancelledRecord,
  resumedRecord,
  snapshotRecord,
]);

/** One event of deferred work. A work is identified by its sequence number in the segment. */
export type JournalRecord = Readonly<t.TypeOf<typeof recordCodec>>;

const batchHeader = t.type({ version: t.number, write: t.string });

const headCodec = t.type({
  version: t.number,
  owner: t.string,
  fence: t.number,
  first: t.number,
  next: t.number,
  sequence: t.number,
  write: t.string,
});

/** Value of a segment's head key. */
export interface Head {
  readonly version: number;
  /** Instance that may append to the segment. */
  readonly owner: string;
  /** Fence of the owner, from the ownership map. */
  readonly fence: number;
  /** Number of the oldest batch. */
  readonly first: number;
  /** Number of the next batch. */
  readonly next: number;
  /** Sequence number of the next submission. */
  readonly sequence: number;
  /** Unique id of the write that stored this head. */
  readonly write: string;
}

/** A decoded batch. */
export interface Batch {
  /** Unique id of the write that stored this batch. */
  readonly write: string;
  readonly records: readonly JournalRecord[];
}

/** Reason why a stored text could not be decoded. The text stays in the store. */
export type DecodeFailure =
  | { readonly type: "journalDamaged"; readonly message: string }
  /** The text was written by a later release. */
  | {
    readonly type: "journalNewer";
    readonly message: string;
    readonly version: number;
  };

/** Encodes a batch. */
export function encodeBatch(batch: Batch): string {
  const header = { version: JOURNAL_VERSION, write: batch.write };
  return [header, ...batch.records]
    .map((line) => JSON.stringify(line))
    .join("\n");
}

/** Size of a record's line, in bytes. */
export function recordBytes(record: JournalRecord): number {
  return Buffer.byteLength(JSON.stringify(record)) + 1;
}

/** Size of a text within a record, in bytes. */
export function textBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text));
}

/** Decodes the text of a batch. */
export function decodeBatch(text: string): Result<Batch, DecodeFailure> {
  const [first = "", ...lines] = text.split("\n");
  return decodeLine(batchHeader, first)
    .andThen((header) => checkVersion(header))
    .andThen((header) =>
      Result.combine(lines.map((line) => decodeLine(recordCodec, line)))
        .map((records) => ({ write: header.write, records }))
    );
}

/** Encodes a head. */
export function encodeHead(head: Head): string {
  return JSON.stringify(head);
}

/** Decodes the text of a head. */
export function decodeHead(text: string): Result<Head, DecodeFailure> {
  return decodeLine(headCodec, text).andThen(checkVersion);
}

function checkVersion<T extends { version: number }>(
  value: T,
): Result<T, DecodeFailure> {
  if (value.version <= JOURNAL_VERSION) return ok(value);
  return err({
    type: "journalNewer",
    message: "the journal was written by a later release",
    version: value.version,
  });
}

function decodeLine<T>(
  codec: t.Type<T>,
  line: string,
): Result<T, DecodeFailure> {
  return parse(line).andThen((json) => {
    const decoded = codec.decode(json);
    if (isLeft(decoded)) return err(damaged(line));
    return ok(decoded.right);
  });
}

const parse = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (): DecodeFailure => damaged("not JSON"),
);

function damaged(line: string): DecodeFailure {
  return {
    type: "journalDamaged",
    message: `unreadable line: ${line.slice(0, 80)}`,
  };
}
