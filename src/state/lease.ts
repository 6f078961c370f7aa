/**
 * Tracks the validity of a store lease on the holder's side.
 *
 * @module
 */

/** Durations of a lease, in milliseconds. */
export interface LeaseTiming {
  /** Validity of the lease in the store after a renewal. */
  readonly leaseTtlMs: number;
  /** Safety margin: the holder stops using the lease this long before it expires. */
  readonly leaseMarginMs: number;
}

/**
 * The holder's view of its lease. The store counts the validity from when it
 * applied a renewal, the holder from before it sent the renewal, so the lease
 * ends for the holder before it ends in the store.
 */
export class HolderLease {
  readonly #timing: LeaseTiming;
  #validUntilMs = -Infinity;

  constructor(timing: LeaseTiming) {
    this.#timing = timing;
  }

  /** Records a successful renewal; `sentAtMs` was taken before it was sent. */
  recordRenewal(sentAtMs: number): void {
    const { leaseTtlMs, leaseMarginMs } = this.#timing;
    const validUntilMs = sentAtMs + leaseTtlMs - leaseMarginMs;
    this.#validUntilMs = Math.max(this.#validUntilMs, validUntilMs);
  }

  /** Records that the lease no longer exists in the store. */
  recordLoss(): void {
    this.#validUntilMs = -Infinity;
  }

  /** Whether the lease is valid for the holder. */
  isValid(nowMs: number): boolean {
    return nowMs < this.#validUntilMs;
  }

  /** Remaining validity for the holder, in milliseconds. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.#validUntilMs - nowMs);
  }
}
