/**
 * Messages between members about membership and ownership.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";

/** Keys of the members, one each, tied to its lease. */
export const MEMBERS_PREFIX = "zinniapoint/members/";

/** Counts of registrations of members that came back, one key each. */
export const REGISTRATIONS_PREFIX = "zinniapoint/registrations/";

/** Key of the ownership map. */
export const OWNERSHIP_KEY = "zinniapoint/ownership";

/** Asks a member to confirm that it does not reach the store and will not release the caller. */
export const confirmCall: RpcMethod<
  { readonly registration: number },
  /** Life of the promise; 0 if it is refused. */
  { readonly forMs: number }
> = {
  method: "membership.confirm",
  params: t.type({ registration: t.number }),
  result: t.type({ forMs: t.number }),
};

/** Asks a member to confirm a holder no more. */
export const releaseCall: RpcMethod<
  { readonly holder: string; readonly registration: number },
  /** Time after which to ask again; 0 if the holder is released. */
  { readonly waitMs: number }
> = {
  method: "membership.release",
  params: t.type({ holder: t.string, registration: t.number }),
  result: t.type({ waitMs: t.number }),
};

/** Asks which epoch of the map a member knows; tells it of the caller's. */
export const epochCall: RpcMethod<
  { readonly epoch: number },
  { readonly epoch: number }
> = {
  method: "ownership.epoch",
  params: t.type({ epoch: t.number }),
  result: t.type({ epoch: t.number }),
};

/** Tells of a new map, in case a watch has gone silent. */
export const mapChangedNotice: RpcNotification<{ readonly epoch: number }> = {
  method: "ownership.changed",
  params: t.type({ epoch: t.number }),
};
