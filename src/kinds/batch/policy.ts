/**
 * Policy of batch tasks: packed onto few workers, earliest due time first,
 * retried with backoff and finally parked.
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

/** Policy of the kind `batch`. */
export const batchPolicy: Policy<"batch"> = {
  place: placeBatch,
  order: byDueThenArrival,
  mayPreempt,
  retry: retryOrPark,
};

/** Fills the fullest workers first, which leaves whole workers free for large tasks and gangs. */
function placeBatch(
  _workload: WorkloadOf<"batch">,
  context: PlacementContext,
): Placement {
  const { pool, need, avoid } = context;
  const worker = pool.findWorker(need, { strategy: "pack", avoid });
  return placementOf(worker === undefined ? undefined : [worker], context);
}

/** Factor by which the rank of the victim's team must exceed that of the claimant's. */
const MIN_RANK_RATIO = 2;

/** Batch tasks preempt only resumable batch tasks, of teams that exceed their share by far more. */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  return victim.kind === "batch" && victim.urgency === "deferred" &&
    victim.checkpoints && victim.rank > MIN_RANK_RATIO * claimant.rank;
}
