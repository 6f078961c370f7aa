/**
 * Counter with exponential decay.
 *
 * @module
 */

/** A count that decays exponentially with a given time constant in milliseconds. */
export class DecayedCount {
  readonly #timeConstantMs: number;
  #value = 0;
  #updatedAtMs = 0;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /** Adds an amount at the given time. */
  add(amount: number, nowMs: number): void {
    this.#value = this.value(nowMs) + amount;
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
  }

  /** The decayed count at the given time. */
  value(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    return this.#value * Math.exp(-elapsedMs / this.#timeConstantMs);
  }
}
