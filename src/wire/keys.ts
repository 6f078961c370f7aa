/**
 * Messages between entry instances and the home instances of idempotency keys.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod } from "../ports/peers.ts";
import type { KeyAnswer, KeyRow, KeyUse } from "../state/key_table.ts";
import type { Outcome } from "../types.ts";
import { OutcomeCodec } from "./outcome.ts";

const KeyUseCodec: t.Type<KeyUse> = t.type({
  team: t.string,
  key: t.string,
  request: t.string,
  entry: t.string,
  deadline: t.number,
});

const KeyRowCodec: t.Type<KeyRow> = t.union([
  t.type({ type: t.literal("inProgress"), use: KeyUseCodec }),
  t.intersection([
    t.type({ type: t.literal("ended"), use: KeyUseCodec, at: t.number }),
    t.partial({ outcome: OutcomeCodec }),
  ]),
  t.type({ type: t.literal("released"), use: KeyUseCodec, at: t.number }),
]);

const KeyAnswerCodec: t.Type<KeyAnswer> = t.union([
  t.type({ type: t.literal("fresh") }),
  t.type({ type: t.literal("inProgress") }),
  t.type({ type: t.literal("done"), outcome: OutcomeCodec }),
  t.type({ type: t.literal("unknown") }),
  t.type({ type: t.literal("clockAhead"), waitMs: t.number }),
  t.type({ type: t.literal("withdrawn") }),
  t.type({ type: t.literal("full") }),
]);

const NotHomeCodec = t.type({ type: t.literal("notHome") });

/** Response of an instance that is not the home of the key. */
export type NotHome = t.TypeOf<typeof NotHomeCodec>;

/** Asks the home of a key whether a request may be executed, and records the use of the key. */
export const beginKeyCall: RpcMethod<KeyUse, KeyAnswer | NotHome> = {
  method: "keys.begin",
  params: KeyUseCodec,
  result: t.union([KeyAnswerCodec, NotHomeCodec]),
};

/** A completed request and its outcome. */
export interface KeyCompletion {
  readonly use: KeyUse;
  readonly outcome: Outcome;
}

/** Reports the outcome of a request to the home of its key. `taken` is true if the home has recorded it. */
export const finishKeyCall: RpcMethod<
  KeyCompletion,
  { readonly taken: boolean }
> = {
  method: "keys.finish",
  params: t.type({ use: KeyUseCodec, outcome: OutcomeCodec }),
  result: t.type({ taken: t.boolean }),
};

/** A key whose record is missing at its home. */
export interface KeyLookup {
  readonly team: string;
  readonly key: string;
}

/** Asks an instance for the outcome of a request with this key that it handled as the entry instance; absent if there is none. */
export const lookUpKeyCall: RpcMethod<
  KeyLookup,
  { readonly outcome?: Outcome }
> = {
  method: "keys.recall",
  params: t.type({ team: t.string, key: t.string }),
  result: t.partial({ outcome: OutcomeCodec }),
};

/** One message of the handover of a bucket's records to its next home. */
export interface KeyHandover {
  readonly bucket: number;
  /** Fencing token of the next home's ownership. */
  readonly fence: number;
  /** All uses of keys since this wall-clock time in milliseconds are recorded. */
  readonly completeSince: number;
  /** Records of keys that carry a time up to this one may have been removed, wall-clock milliseconds. */
  readonly forgottenUpTo: number;
  readonly rows: readonly KeyRow[];
  /** Whether earlier messages belong to the same handover. */
  readonly more: boolean;
  /** Whether this is the last message of the handover. */
  readonly last: boolean;
}

/** Sends records of a bucket to its next home. `taken` is true if they were accepted. */
export const handOverKeysCall: RpcMethod<
  KeyHandover,
  { readonly taken: boolean }
> = {
  method: "keys.handOver",
  params: t.type({
    bucket: t.number,
    fence: t.number,
    completeSince: t.number,
    forgottenUpTo: t.number,
    rows: t.readonlyArray(KeyRowCodec),
    more: t.boolean,
    last: t.boolean,
  }),
  result: t.type({ taken: t.boolean }),
};
