/**
 * Policy of services: requests are answered at once, replicas are spread over
 * availability zones and racks.
 *
 * @module
 */
import {
  type Claimant,
  type FailedAttempt,
  isRepeatable,
  type Placement,
  type PlacementContext,
  placementOf,
  type Policy,
  type Retry,
  type Victim,
  type WorkloadOf,
} from "../policy.ts";

/** The policy. */
export const servicePolicy: Policy<"service"> = {
  place: placeService,
  order: (a, b) => a.arrivedAtMs - b.arrivedAtMs,
  mayPreempt,
  retry,
};

/** Replicas go where fewest are; requests go to the worker with the most room. */
function placeService(
  _workload: WorkloadOf<"service">,
  context: PlacementContext,
): Placement {
  const { pool, need, ...options } = context;
  const strategy = options.spread === undefined ? "even" : "pack";
  const worker = pool.place(need, { ...options, strategy });
  return placementOf(worker === undefined ? undefined : [worker], context);
}

/** Urgent services displace deferred tasks that lose nothing by it. */
function mayPreempt(claimant: Claimant, victim: Victim): boolean {
  if (claimant.urgency !== "urgent" || victim.urgency === "urgent") {
    return false;
  }
  return victim.checkpoints ||
    (victim.idempotent && victim.kind === "batch");
}

/** The caller waits: another worker is tried at once, and nothing is parked. */
function retry(
  workload: WorkloadOf<"service">,
  attempt: FailedAttempt,
): Retry {
  const spent = attempt.attempts >= workload.attempts;
  if (spent || !isRepeatable(workload, attempt)) return { type: "answer" };
  return { type: "retry", delayMs: 0 };
}
