/**
 * Policy of gangs: room for all tasks or none, packed tightly, retried as a
 * whole.
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
export const gangPolicy: Policy<"gang"> = {
  place: placeAll,
  order: byDueThenArrival,
  mayPreempt,
  retry: retryOrPark,
};

function placeAll(
  workload: WorkloadOf<"gang">,
  context: PlacementContext,
): Placement {
  const { pool, need, avoid } = context;
  const options = { count: workload.tasks, strategy: "pack", avoid } as const;
  return placementOf(pool.placeGang(need, options), context);
}

/** Gangs displace resumable batch tasks of teams above their own, never part of another gang. */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  return victim.kind === "batch" && victim.urgency === "deferred" &&
    victim.checkpoints && victim.rank > claimant.rank;
}
