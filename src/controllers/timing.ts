/**
 * Times of membership, ownership and limits, all in milliseconds.
 *
 * @module
 */
import type { ContinuationTiming } from "../state/continuation.ts";
import type { LeaseTiming } from "../state/lease.ts";

/** How often things happen and how long they last. */
export interface Timing extends LeaseTiming, ContinuationTiming {
  /** Between two renewals. */
  readonly renewEveryMs: number;
  /** Between two attempts while the store fails. */
  readonly retryMs: number;
  /** Between two rounds of questions to the peers. */
  readonly confirmEveryMs: number;
  /** Time left on the lease at which the rounds begin. */
  readonly confirmLeadMs: number;
  /** Longest wait for a peer. */
  readonly peerTimeoutMs: number;
  /** Between two readings of the member keys that back the watch up. */
  readonly rereadMembersMs: number;
  /** Between two readings of the map that back the watch up. */
  readonly rereadMapMs: number;
  /** Between two readings of the platform's list. */
  readonly listEveryMs: number;
  /** Absence from the list after which a member seen there is gone. */
  readonly goneAfterMs: number;
  /** Absence from the list after which a member never seen there is gone. */
  readonly neverSeenGoneAfterMs: number;
  /** Wait before the first member writes a change of the map; the next one waits one more. */
  readonly claimDelayMs: number;
  /** Between two looks at whether the map needs a change. */
  readonly reconcileEveryMs: number;
}

/** Times for small fleets with a store that answers in milliseconds. */
export const defaultTiming: Timing = {
  leaseTtlMs: 5_000,
  leaseMarginMs: 500,
  renewEveryMs: 1_500,
  retryMs: 500,
  confirmMs: 3_000,
  confirmEveryMs: 800,
  confirmLeadMs: 2_500,
  peerTimeoutMs: 500,
  rereadMembersMs: 15_000,
  rereadMapMs: 60_000,
  listEveryMs: 2_000,
  goneAfterMs: 6_000,
  neverSeenGoneAfterMs: 60_000,
  claimDelayMs: 100,
  reconcileEveryMs: 1_000,
};

/** Times for a lease of `leaseMs`; what goes by the lease grows and shrinks with it. */
export function timingFor(leaseMs: number): Timing {
  const factor = leaseMs / defaultTiming.leaseTtlMs;
  const scaled = (milliseconds: number) => Math.round(milliseconds * factor);
  return {
    ...defaultTiming,
    leaseTtlMs: leaseMs,
    leaseMarginMs: scaled(defaultTiming.leaseMarginMs),
    renewEveryMs: scaled(defaultTiming.renewEveryMs),
    confirmMs: scaled(defaultTiming.confirmMs),
    confirmLeadMs: scaled(defaultTiming.confirmLeadMs),
    goneAfterMs: scaled(defaultTiming.goneAfterMs),
  };
}
