/**
 * Policy of batch tasks: packed tightly, first due first, retried with
 * backoff and parked in the end.
 *
 * @module
 */
import { byDueThenArrival } from "../../policy/order.ts";
import {
  type Claimant,
  type Placement,
  type PlacementContext,
  placementOf,
  type Policy,
  retryOrPark,
  type Victim,
  type WorkloadOf,
} from "../policy.ts";

/** The policy. */
export const batchPolicy: Policy<"batch"> = {
  place: placeBatch,
  order: byDueThenArrival,
  mayPreempt,
  retry: retryOrPark,
};

/** Fills workers up, so that others stay whole for large tasks and gangs. */
function placeBatch(
  _workload: WorkloadOf<"batch">,
  context: PlacementContext,
): Placement {
  const { pool, need, avoid } = context;
  const worker = pool.place(need, { strategy: "pack", avoid });
  return placementOf(worker === undefined ? undefined : [worker], context);
}

/** How far the victim's team must be above the claimant's, as a factor. */
const RANK_FACTOR = 2;

/** Batch tasks displace only batch tasks that can be resumed, of teams far above their share. */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  return victim.kind === "batch" && victim.urgency === "deferred" &&
    victim.checkpoints && victim.rank > RANK_FACTOR * claimant.rank;
}
