/**
 * Messages between the homes of limits and the allowance holders.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";

const GrantFieldsCodec = t.type({
  fence: t.number,
  seq: t.number,
  hold: t.number,
});

/** Requests more allowance from the home of a team, or reports a lower one. */
export const allowanceCall: RpcMethod<
  {
    readonly team: string;
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
    readonly adopted: number;
    readonly need: number;
    /** Map epoch at which the holder became a member. */
    readonly since: number;
  },
  | {
    readonly type: "granted";
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
  }
  /** The home has not finished its survey of the members. */
  | { readonly type: "surveying" }
  /** The receiver is not the home, or its fence differs from the fence in the request. */
  | { readonly type: "notHome" }
> = {
  method: "limits.allowance",
  params: t.intersection([
    GrantFieldsCodec,
    t.type({
      team: t.string,
      adopted: t.number,
      need: t.number,
      since: t.number,
    }),
  ]),
  result: t.union([
    t.intersection([t.type({ type: t.literal("granted") }), GrantFieldsCodec]),
    t.type({ type: t.literal("surveying") }),
    t.type({ type: t.literal("notHome") }),
  ]),
};

/** Asks a member for its holdings of each team whose home is the caller. */
export const surveyCall: RpcMethod<
  {
    /** Map epoch that the answering member must have reached. */
    readonly epoch: number;
    readonly teams: readonly {
      readonly team: string;
      readonly fence: number;
    }[];
  },
  {
    readonly epoch: number;
    /** Whether the member has counted the work on every worker that it owns. */
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

/**
 * Asks a holder to return allowance because others wait. It keeps at most
 * `keep`, or what is running if that is more.
 */
export const recallNotice: RpcNotification<
  { readonly team: string; readonly fence: number; readonly keep: number }
> = {
  method: "limits.recall",
  params: t.type({ team: t.string, fence: t.number, keep: t.number }),
};

/** Notifies a holder with an unmet request that allowance is free again. */
export const freedNotice: RpcNotification<
  { readonly team: string; readonly fence: number }
> = {
  method: "limits.freed",
  params: t.type({ team: t.string, fence: t.number }),
};
