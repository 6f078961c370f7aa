/**
 * Messages by which any instance answers for deferred work that another holds.
 *
 * @module
 */
import * as t from "io-ts";
import type { Call } from "../ports/peers.ts";

/** A work as its holder shows it, or why it cannot. */
export const WorkAnswer = t.union([
  t.type({ type: t.literal("found"), work: t.unknown }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
]);
/** A work as its holder shows it, or why it cannot. */
export type WorkAnswer = t.TypeOf<typeof WorkAnswer>;

/** Shows a work. */
export const showWorkCall: Call<{ id: string }, WorkAnswer> = {
  method: "work.show",
  params: t.type({ id: t.string }),
  result: WorkAnswer,
};

/** Lists the works of a team that the callee holds. */
export const listWorkCall: Call<
  { team: string; limit: number },
  { works: unknown[] }
> = {
  method: "work.list",
  params: t.type({ team: t.string, limit: t.number }),
  result: t.type({ works: t.array(t.unknown) }),
};

/** What became of a cancellation. */
export const CancelAnswer = t.union([
  t.type({ type: t.literal("cancelled"), works: t.number }),
  t.type({ type: t.literal("unknownWork") }),
  t.type({ type: t.literal("notHeld") }),
  t.type({ type: t.literal("storeAway") }),
]);
/** What became of a cancellation. */
export type CancelAnswer = t.TypeOf<typeof CancelAnswer>;

/** Cancels one work of a team. */
export const cancelWorkCall: Call<
  { id: string; team: string },
  CancelAnswer
> = {
  method: "work.cancel",
  params: t.type({ id: t.string, team: t.string }),
  result: CancelAnswer,
};

/** Cancels all open work of a team's workload that the callee holds. */
export const cancelWaveCall: Call<
  { team: string; workload: string },
  CancelAnswer
> = {
  method: "work.cancel_wave",
  params: t.type({ team: t.string, workload: t.string }),
  result: CancelAnswer,
};
