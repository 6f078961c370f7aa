/**
 * Rates of calls that the service takes.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

const MS_PER_SECOND = 1000;

/** A token bucket that holds one second's worth of calls. */
export class Budget {
  readonly #perSecond: number;
  #tokens: number;
  #filledAt = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
  }

  /** Takes a call out of the budget; `false` if it is spent. */
  take(): boolean {
    this.#fill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #fill(): void {
    const now = performance.now();
    const earned = (now - this.#filledAt) * this.#perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + earned);
    this.#filledAt = now;
  }
}
