/**
 * Rate limit of the service's calls.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

const MS_PER_SECOND = 1000;

/** Token bucket with a capacity of one second's calls. */
export class TokenBucket {
  readonly #perSecond: number;
  #tokens: number;
  #refilledAt = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
  }

  /** Takes a token for one call; `false` if there is none. */
  take(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const now = performance.now();
    const added = (now - this.#refilledAt) * this.#perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + added);
    this.#refilledAt = now;
  }
}
