/**
 * Messages between the homes of limits and the holders of allowances.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";

const Grants = t.type({ fence: t.number, seq: t.number, hold: t.number });

/** Asks the home of a team for more, or tells it of less. */
export const allowanceCall: RpcMethod<
  {
    readonly team: string;
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
    readonly adopted: number;
    readonly need: number;
    /** Epoch since which the holder is a member. */
    readonly since: number;
  },
  | {
    readonly type: "granted";
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
  }
  /** The home is still asking the members what they hold. */
  | { readonly type: "surveying" }
  /** This instance is not the home, or not the one that the holder meant. */
  | { readonly type: "notHome" }
> = {
  method: "limits.allowance",
  params: t.intersection([
    Grants,
    t.type({
      team: t.string,
      adopted: t.number,
      need: t.number,
      since: t.number,
    }),
  ]),
  result: t.union([
    t.intersection([t.type({ type: t.literal("granted") }), Grants]),
    t.type({ type: t.literal("surveying") }),
    t.type({ type: t.literal("notHome") }),
  ]),
};

/** Asks a member what it holds of each team that the caller is home of. */
export const surveyCall: RpcMethod<
  {
    /** Epoch of the map that the answer must know. */
    readonly epoch: number;
    readonly teams: readonly {
      readonly team: string;
      readonly fence: number;
    }[];
  },
  {
    readonly epoch: number;
    /** Whether the work on every worker that the member owns has been counted. */
    readonly settled: boolean;
    readonly since: number;
    readonly holdings: readonly {
      readonly team: string;
      readonly seq: number;
      readonly hold: number;
      readonly adopted: number;
    }[];
  }
> = {
  method: "limits.survey",
  params: t.type({
    epoch: t.number,
    teams: t.readonlyArray(t.type({ team: t.string, fence: t.number })),
  }),
  result: t.type({
    epoch: t.number,
    settled: t.boolean,
    since: t.number,
    holdings: t.readonlyArray(
      t.type({
        team: t.string,
        seq: t.number,
        hold: t.number,
        adopted: t.number,
      }),
    ),
  }),
};

/** Tells holders that others wait: each keeps `keep` at most beyond what is running. */
export const recallNotice: RpcNotification<
  { readonly team: string; readonly fence: number; readonly keep: number }
> = {
  method: "limits.recall",
  params: t.type({ team: t.string, fence: t.number, keep: t.number }),
};

/** Tells a holder that was refused that asking again makes sense. */
export const freedNotice: RpcNotification<
  { readonly team: string; readonly fence: number }
> = {
  method: "limits.freed",
  params: t.type({ team: t.string, fence: t.number }),
};
