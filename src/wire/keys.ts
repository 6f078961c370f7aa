/**
 * Messages between entry instances and the homes of idempotency keys.
 *
 * @module
 */
import * as t from "io-ts";
import type { Call } from "../ports/peers.ts";
import type { KeyAnswer, KeyRow, KeyUse } from "../state/key_memory.ts";
import type { Outcome } from "../types.ts";
import { OutcomeCodec } from "./outcome.ts";

const UseCodec: t.Type<KeyUse> = t.type({
  team: t.string,
  key: t.string,
  request: t.string,
  entry: t.string,
  deadline: t.number,
});

const RowCodec: t.Type<KeyRow> = t.union([
  t.type({ type: t.literal("inProgress"), use: UseCodec }),
  t.intersection([
    t.type({ type: t.literal("ended"), use: UseCodec, at: t.number }),
    t.partial({ outcome: OutcomeCodec }),
  ]),
  t.type({ type: t.literal("released"), use: UseCodec, at: t.number }),
]);

const AnswerCodec: t.Type<KeyAnswer> = t.union([
  t.type({ type: t.literal("fresh") }),
  t.type({ type: t.literal("inProgress") }),
  t.type({ type: t.literal("done"), outcome: OutcomeCodec }),
  t.type({ type: t.literal("unknown") }),
  t.type({ type: t.literal("clockAhead"), waitMs: t.number }),
  t.type({ type: t.literal("withdrawn") }),
  t.type({ type: t.literal("full") }),
]);

const notHome = t.type({ type: t.literal("notHome") });

/** The receiver is not the home of the key. */
export type NotHome = t.TypeOf<typeof notHome>;

/** Asks the home of a key whether a request may go ahead. */
export const beginKey: Call<KeyUse, KeyAnswer | NotHome> = {
  method: "keys.begin",
  params: UseCodec,
  result: t.union([AnswerCodec, notHome]),
};

/** An ended request. */
export interface KeyEnding {
  readonly use: KeyUse;
  readonly outcome: Outcome;
}

/** Tells the home of a key how a request ended. */
export const finishKey: Call<KeyEnding, { readonly taken: boolean }> = {
  method: "keys.finish",
  params: t.type({ use: UseCodec, outcome: OutcomeCodec }),
  result: t.type({ taken: t.boolean }),
};

/** A key that a home has lost its memory of. */
export interface KeyQuestion {
  readonly team: string;
  readonly key: string;
}

/** Asks an instance whether it handled a request with the key itself. */
export const recallKey: Call<KeyQuestion, { readonly outcome?: Outcome }> = {
  method: "keys.recall",
  params: t.type({ team: t.string, key: t.string }),
  result: t.partial({ outcome: OutcomeCodec }),
};

/** A part of the memory of one home. */
export interface KeyHandover {
  readonly bucket: number;
  /** Fencing number of the next owner's grant. */
  readonly fence: number;
  readonly completeSince: number;
  readonly forgottenUpTo: number;
  readonly rows: readonly KeyRow[];
  /** Whether parts of the same handover came before. */
  readonly more: boolean;
  /** Whether this is the last part. */
  readonly last: boolean;
}

/** Gives the memory of one home to its next owner. */
export const handOverKeys: Call<KeyHandover, { readonly taken: boolean }> = {
  method: "keys.handOver",
  params: t.type({
    bucket: t.number,
    fence: t.number,
    completeSince: t.number,
    forgottenUpTo: t.number,
    rows: t.readonlyArray(RowCodec),
    more: t.boolean,
    last: t.boolean,
  }),
  result: t.type({ taken: t.boolean }),
};
