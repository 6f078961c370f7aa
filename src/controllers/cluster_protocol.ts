/**
 * Store keys of membership and ownership, and the messages between members.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod, RpcNotification } from "../ports/peers.ts";

/** Prefix of the member keys: one key for each member, bound to the member's lease. */
export const MEMBERS_PREFIX = "zinniapoint/members/";

/**
 * Prefix of the registration counts: one key for each member that has
 * registered more than once.
 */
export const REGISTRATIONS_PREFIX = "zinniapoint/registrations/";

/** Key of the ownership map. */
export const OWNERSHIP_KEY = "zinniapoint/ownership";

/** Asks a voter to promise not to release the caller. A voter that reaches the store refuses. */
export const confirmCall: RpcMethod<
  { readonly registration: number },
  /** Validity of the confirmation in milliseconds; 0 if it is refused. */
  { readonly forMs: number }
> = {
  method: "membership.confirm",
  params: t.type({ registration: t.number }),
  result: t.type({ forMs: t.number }),
};

/** Asks a voter to release a lease holder, that is, to stop confirming it. */
export const releaseCall: RpcMethod<
  { readonly holder: string; readonly registration: number },
  /** Milliseconds after which to retry; 0 if the holder is released. */
  { readonly waitMs: number }
> = {
  method: "membership.release",
  params: t.type({ holder: t.string, registration: t.number }),
  result: t.type({ waitMs: t.number }),
};

/** Sends the caller's map epoch to a member and returns the member's. */
export const epochCall: RpcMethod<
  { readonly epoch: number },
  { readonly epoch: number }
> = {
  method: "ownership.epoch",
  params: t.type({ epoch: t.number }),
  result: t.type({ epoch: t.number }),
};

/** Announces a new map epoch, in case the receiver's watch has stopped delivering changes. */
export const mapChangedNotice: RpcNotification<{ readonly epoch: number }> = {
  method: "ownership.changed",
  params: t.type({ epoch: t.number }),
};
