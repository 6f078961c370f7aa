/**
 * Policy of gangs: all tasks are placed together or none, packed onto few
 * workers, and retried as a whole.
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

/** Policy of the kind `gang`. */
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
  return placementOf(pool.findGangWorkers(need, options), context);
}

/** Gangs preempt resumable batch tasks of teams with a higher rank, never tasks of another gang. */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  return victim.kind === "batch" && victim.urgency === "deferred" &&
    victim.checkpoints && victim.rank > claimant.rank;
}
