/**
 * Limits the rate of store writes of one instance.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Token bucket shared by all segments of an instance. */
export class WriteBudget {
  readonly #clock: Clock;
  readonly #perSecond: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAtMs: number;

  constructor(
    clock: Clock,
    options: { readonly perSecond: number; readonly burst: number },
  ) {
    this.#clock = clock;
    this.#perSecond = options.perSecond;
    this.#burst = options.burst;
    this.#tokens = options.burst;
    this.#refilledAtMs = clock.monotonic();
  }

  /** Takes the token for one write. Returns 0, or the milliseconds until a token is available if there is none. */
  tryTake(): number {
    this.#refill();
    if (this.#tokens >= 1) {
      this.#tokens--;
      return 0;
    }
    return Math.ceil((1 - this.#tokens) * MS_PER_SECOND / this.#perSecond);
  }

  #refill(): void {
    const now = this.#clock.monotonic();
    const gained = (now - this.#refilledAtMs) * this.#perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#refilledAtMs = now;
  }
}

const MS_PER_SECOND = 1000;
