/**
 * Counting with exponential forgetting.
 *
 * @module
 */

/** A count that shrinks with a time constant. */
export class DecayedCount {
  readonly #memoryMs: number;
  #value = 0;
  #atMs = 0;

  constructor(memoryMs: number) {
    this.#memoryMs = memoryMs;
  }

  /** Adds an amount. */
  add(amount: number, nowMs: number): void {
    this.#value = this.value(nowMs) + amount;
    this.#atMs = Math.max(nowMs, this.#atMs);
  }

  /** The count now. */
  value(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    return this.#value * Math.exp(-elapsedMs / this.#memoryMs);
  }
}
