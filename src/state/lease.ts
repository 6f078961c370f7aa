/**
 * The holder's side of a lease in the store.
 *
 * @module
 */

/** Times of a lease, in milliseconds. */
export interface LeaseTiming {
  /** Life of the lease in the store after a renewal. */
  readonly leaseTtlMs: number;
  /** How long before the end the holder stops relying on it. */
  readonly leaseMarginMs: number;
}

/**
 * How long a holder may rely on its lease. The store counts from when it
 * carried a renewal out, the holder from before it sent it, so the holder
 * always stops first.
 */
export class HolderLease {
  readonly #timing: LeaseTiming;
  #validUntilMs = -Infinity;

  constructor(timing: LeaseTiming) {
    this.#timing = timing;
  }

  /** Takes note of a renewal that succeeded; `sentAtMs` is from before it was sent. */
  renewed(sentAtMs: number): void {
    const { leaseTtlMs, leaseMarginMs } = this.#timing;
    const validUntilMs = sentAtMs + leaseTtlMs - leaseMarginMs;
    this.#validUntilMs = Math.max(this.#validUntilMs, validUntilMs);
  }

  /** Takes note that the lease is gone from the store. */
  lost(): void {
    this.#validUntilMs = -Infinity;
  }

  /** Whether the holder may rely on the lease. */
  valid(nowMs: number): boolean {
    return nowMs < this.#validUntilMs;
  }

  /** Milliseconds for which the holder may still rely on the lease. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.#validUntilMs - nowMs);
  }
}
