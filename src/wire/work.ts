/**
 * Messages with which any instance serves requests about deferred work whose
 * origin is another instance.
 *
 * @module
 */
import * as t from "io-ts";
import type { Call } from "../ports/peers.ts";

/** A work item as its origin instance describes it, or why it is unavailable. */
export const WorkAnswer = t.union([
  t.type({ type: t.literal("found"), work: t.unknown }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
]);
/** A work item as its origin instance describes it, or why it is unavailable. */
export type WorkAnswer = t.TypeOf<typeof WorkAnswer>;

/** Returns the description of a work item. */
export const showWorkCall: Call<{ id: string }, WorkAnswer> = {
  method: "work.show",
  params: t.type({ id: t.string }),
  result: WorkAnswer,
};

/** Lists at most `limit` work items of a team whose origin is the callee. */
export const listWorkCall: Call<
  { team: string; limit: number },
  { works: unknown[] }
> = {
  method: "work.list",
  params: t.type({ team: t.string, limit: t.number }),
  result: t.type({ works: t.array(t.unknown) }),
};

/** Result of a cancellation: the number of canceled work items, or why it failed. */
export const CancelAnswer = t.union([
  t.type({ type: t.literal("cancelled"), works: t.number }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
  t.type({ type: t.literal("storeAway") }),
]);
/** Result of a cancellation: the number of canceled work items, or why it failed. */
export type CancelAnswer = t.TypeOf<typeof CancelAnswer>;

/** Cancels one work item of a team. */
export const cancelWorkCall: Call<
  { id: string; team: string },
  CancelAnswer
> = {
  method: "work.cancel",
  params: t.type({ id: t.string, team: t.string }),
  result: CancelAnswer,
};

/** Cancels all unfinished work of one workload of a team whose origin is the callee. */
export const cancelWaveCall: Call<
  { team: string; workload: string },
  CancelAnswer
> = {
  method: "work.cancel_wave",
  params: t.type({ team: t.string, workload: t.string }),
  result: CancelAnswer,
};
