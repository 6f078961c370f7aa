/**
 * Policy of services: failed requests are retried without delay, replicas are
 * spread over availability zones and racks.
 *
 * @module
 */
import {
  type Claimant,
  type FailedAttempt,
  isRetrySafe,
  type Placement,
  type PlacementContext,
  placementOf,
  type Policy,
  type Retry,
  type Victim,
  type WorkloadOf,
} from "../policy.ts";

/** Policy of the kind `service`. */
export const servicePolicy: Policy<"service"> = {
  place: placeService,
  order: (a, b) => a.arrivedAtMs - b.arrivedAtMs,
  mayPreempt,
  retry,
};

/**
 * Places a replica in the zone and rack with the fewest replicas, and a request
 * on the worker with the most free capacity.
 */
function placeService(
  _workload: WorkloadOf<"service">,
  context: PlacementContext,
): Placement {
  const { pool, need, ...options } = context;
  const strategy = options.spread === undefined ? "even" : "pack";
  const worker = pool.findWorker(need, { ...options, strategy });
  return placementOf(worker === undefined ? undefined : [worker], context);
}

/**
 * Urgent services preempt work that is not urgent and loses nothing: work with
 * checkpoints and idempotent batch tasks.
 */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  if (claimant.urgency !== "urgent" || victim.urgency === "urgent") {
    return false;
  }
  return victim.checkpoints ||
    (victim.idempotent && victim.kind === "batch");
}

/** Retries without delay, as the caller waits for the answer, and never parks. */
function retry(
  workload: WorkloadOf<"service">,
  attempt: FailedAttempt,
): Retry {
  const exhausted = attempt.attempts >= workload.attempts;
  if (exhausted || !isRetrySafe(workload, attempt)) return { type: "answer" };
  return { type: "retry", delayMs: 0 };
}
