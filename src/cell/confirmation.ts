/**
 * How long ago the hold on the cell was confirmed, and whether the process
 * was suspended since.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Jump between wall clock and monotonic clock that tells of a suspension, milliseconds. */
const SUSPENSION_MS = 700;

/** The last confirmation of a hold. */
export class Confirmation {
  readonly #clock: Clock;
  #atMs = -Infinity;
  #skewMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#skewMs = this.skewMs();
  }

  /** Milliseconds since the last confirmation was asked for. */
  get ageMs(): number {
    return this.#clock.monotonic() - this.#atMs;
  }

  /** Whether the wall clock has moved on by much more than the monotonic one, which may not count a suspension. */
  get wasSuspended(): boolean {
    return Math.abs(this.skewMs() - this.#skewMs) > SUSPENSION_MS;
  }

  /** Wall clock less monotonic clock, milliseconds. */
  skewMs(): number {
    return this.#clock.now().getTime() - this.#clock.monotonic();
  }

  /** Takes note of an answer to something sent at `sentMs`, when the clocks differed by `skewMs`. */
  confirm(sentMs: number, skewMs = this.skewMs()): void {
    this.#atMs = Math.max(this.#atMs, sentMs);
    this.#skewMs = skewMs;
  }
}
