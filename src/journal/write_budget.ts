/**
 * Bounds the writes a second of one instance to the platform's service.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** A token bucket that all segments of an instance share. */
export class WriteBudget {
  readonly #clock: Clock;
  readonly #perSecond: number;
  readonly #burst: number;
  #tokens: number;
  #filledAtMs: number;

  constructor(
    clock: Clock,
    options: { readonly perSecond: number; readonly burst: number },
  ) {
    this.#clock = clock;
    this.#perSecond = options.perSecond;
    this.#burst = options.burst;
    this.#tokens = options.burst;
    this.#filledAtMs = clock.monotonic();
  }

  /** Takes one write; gives the milliseconds after which to ask again, 0 if taken. */
  take(): number {
    this.#fill();
    if (this.#tokens >= 1) {
      this.#tokens--;
      return 0;
    }
    return Math.ceil((1 - this.#tokens) * MS_PER_SECOND / this.#perSecond);
  }

  #fill(): void {
    const now = this.#clock.monotonic();
    const gained = (now - this.#filledAtMs) * this.#perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#filledAtMs = now;
  }
}

const MS_PER_SECOND = 1000;
