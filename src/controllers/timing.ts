/**
 * Intervals and timeouts of membership, ownership and limits, in milliseconds.
 *
 * @module
 */
import type { ContinuationTiming } from "../state/continuation.ts";
import type { LeaseTiming } from "../state/lease.ts";

/** Intervals and timeouts, in milliseconds. */
export interface Timing extends LeaseTiming, ContinuationTiming {
  /** Interval between lease renewals. */
  readonly renewIntervalMs: number;
  /** Delay before a failed renewal is retried. */
  readonly retryDelayMs: number;
  /** Interval between rounds of confirmation requests to the peers. */
  readonly confirmIntervalMs: number;
  /** Remaining lease time below which confirmations are requested. */
  readonly confirmLeadMs: number;
  /** Timeout of a call to a peer. */
  readonly peerTimeoutMs: number;
  /** Interval between full reads of the member keys, in case the watch has missed changes. */
  readonly membersReadIntervalMs: number;
  /** Interval between reads of the map, in case the watch has missed changes. */
  readonly mapReadIntervalMs: number;
  /** Interval between reads of the platform's list. */
  readonly listIntervalMs: number;
  /** Absence from the list after which a member that was listed before counts as gone. */
  readonly goneAfterMs: number;
  /** Absence from the list after which a member that was never listed counts as gone. */
  readonly neverSeenGoneAfterMs: number;
  /**
   * Delay before the member of the lowest rank writes a change of the map; each
   * further rank waits one such delay more.
   */
  readonly claimDelayMs: number;
  /** Interval between checks whether the map needs a change. */
  readonly reconcileIntervalMs: number;
}

/** Defaults for small fleets with a store that answers within milliseconds. */
export const defaultTiming: Timing = {
  leaseTtlMs: 5_000,
  leaseMarginMs: 500,
  renewIntervalMs: 1_500,
  retryDelayMs: 500,
  confirmMs: 3_000,
  confirmIntervalMs: 800,
  confirmLeadMs: 2_500,
  peerTimeoutMs: 500,
  membersReadIntervalMs: 15_000,
  mapReadIntervalMs: 60_000,
  listIntervalMs: 2_000,
  goneAfterMs: 6_000,
  neverSeenGoneAfterMs: 60_000,
  claimDelayMs: 100,
  reconcileIntervalMs: 1_000,
};

/**
 * Timing for a lease of `leaseMs` milliseconds: values that depend on the lease
 * are scaled in proportion.
 */
export function timingFor(leaseMs: number): Timing {
  const factor = leaseMs / defaultTiming.leaseTtlMs;
  const scaled = (milliseconds: number) => Math.round(milliseconds * factor);
  return {
    ...defaultTiming,
    leaseTtlMs: leaseMs,
    leaseMarginMs: scaled(defaultTiming.leaseMarginMs),
    renewIntervalMs: scaled(defaultTiming.renewIntervalMs),
    confirmMs: scaled(defaultTiming.confirmMs),
    confirmLeadMs: scaled(defaultTiming.confirmLeadMs),
    goneAfterMs: scaled(defaultTiming.goneAfterMs),
  };
}
