/**
 * Messages with which any instance serves requests about deferred work whose
 * origin is another instance.
 *
 * @module
 */
import * as t from "io-ts";
import type { RpcMethod } from "../ports/peers.ts";

/** A work item as its origin instance describes it, or why it is unavailable. */
export const WorkResponse = t.union([
  t.type({ type: t.literal("found"), work: t.unknown }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
]);
/** A work item as its origin instance describes it, or why it is unavailable. */
export type WorkResponse = t.TypeOf<typeof WorkResponse>;

/** Returns the description of a work item. */
export const showWorkCall: RpcMethod<{ id: string }, WorkResponse> = {
  method: "work.show",
  params: t.type({ id: t.string }),
  result: WorkResponse,
};

/** Lists at most `limit` work items of a team whose origin is the callee. */
export const listWorkCall: RpcMethod<
  { team: string; limit: number },
  { works: unknown[] }
> = {
  method: "work.list",
  params: t.type({ team: t.string, limit: t.number }),
  result: t.type({ works: t.array(t.unknown) }),
};

/** Result of a cancellation: the number of canceled work items, or why it failed. */
export const CancelResponse = t.union([
  t.type({ type: t.literal("cancelled"), works: t.number }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
  t.type({ type: t.literal("storeAway") }),
]);
/** Result of a cancellation: the number of canceled work items, or why it failed. */
export type CancelResponse = t.TypeOf<typeof CancelResponse>;

/** Cancels one work item of a team. */
export const cancelWorkCall: RpcMethod<
  { id: string; team: string },
  CancelResponse
> = {
  method: "work.cancel",
  params: t.type({ id: t.string, team: t.string }),
  result: CancelResponse,
};

/** Cancels all unfinished work of one workload of a team whose origin is the callee. */
export const cancelWorkloadCall: RpcMethod<
  { team: string; workload: string },
  CancelResponse
> = {
  method: "work.cancel_wave",
  params: t.type({ team: t.string, workload: t.string }),
  result: CancelResponse,
};
