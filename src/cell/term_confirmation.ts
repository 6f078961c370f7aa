/**
 * Age of the last confirmation of this process's term, and detection of a
 * suspension of the process since then.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Change of the offset between wall clock and monotonic clock that indicates a suspension, milliseconds. */
const MIN_SUSPENSION_MS = 700;

/** The last confirmation of a term, by the store or by a majority of members. */
export class TermConfirmation {
  readonly #clock: Clock;
  #confirmedAtMs = -Infinity;
  /** Clock offset at the last confirmation, milliseconds. */
  #confirmedClockOffsetMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#confirmedClockOffsetMs = this.clockOffsetMs();
  }

  /** Milliseconds since the last confirmed write or heartbeat was sent. */
  get ageMs(): number {
    return this.#clock.monotonic() - this.#confirmedAtMs;
  }

  /**
   * Whether the process was suspended since the last confirmation. The
   * monotonic clock may stop during a suspension, so `ageMs` alone could miss
   * it; the wall clock then runs ahead of the monotonic one. A step of the wall
   * clock has the same effect.
   */
  get wasSuspended(): boolean {
    return Math.abs(this.clockOffsetMs() - this.#confirmedClockOffsetMs) >
      MIN_SUSPENSION_MS;
  }

  /** Wall clock minus monotonic clock, milliseconds. */
  clockOffsetMs(): number {
    return this.#clock.now().getTime() - this.#clock.monotonic();
  }

  /** Records the confirmation of a request sent at `sentMs` (monotonic), when the clock offset was `clockOffsetMs`. */
  confirm(sentMs: number, clockOffsetMs = this.clockOffsetMs()): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentMs);
    this.#confirmedClockOffsetMs = clockOffsetMs;
  }
}
