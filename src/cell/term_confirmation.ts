/**
 * Age of the last confirmation of this process's term, and detection of a
 * suspension of the process since then.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { clockOffsetMs, wasSuspendedSince } from "./suspension.ts";

/** When a request was sent whose success confirms the term. */
export interface SendTime {
  /** Monotonic milliseconds. */
  readonly sentMs: number;
  /** Wall clock minus monotonic clock at that time, milliseconds. */
  readonly clockOffsetMs: number;
}

/** The last confirmation of a term, by the store or by a majority of members. */
export class TermConfirmation {
  readonly #clock: Clock;
  #confirmed: SendTime;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#confirmed = { ...this.now(), sentMs: -Infinity };
  }

  /** Milliseconds since the last confirmed write or heartbeat was sent. */
  get ageMs(): number {
    return this.#clock.monotonic() - this.#confirmed.sentMs;
  }

  /** Whether the process was suspended since the last confirmation; `ageMs` is too low then. */
  get wasSuspended(): boolean {
    return wasSuspendedSince(this.#clock, this.#confirmed.clockOffsetMs);
  }

  /** The send time of a request that is sent now. */
  now(): SendTime {
    return {
      sentMs: this.#clock.monotonic(),
      clockOffsetMs: clockOffsetMs(this.#clock),
    };
  }

  /** Records the confirmation of a request. */
  confirm(sent: SendTime): void {
    const sentMs = Math.max(this.#confirmed.sentMs, sent.sentMs);
    this.#confirmed = { ...sent, sentMs };
  }

  /**
   * Records the confirmation of a request that was sent at `sentMs`, monotonic
   * milliseconds. It has no effect after a suspension: the request may have been
   * sent before, and another instance may lead since.
   */
  extend(sentMs: number): void {
    if (!this.wasSuspended) this.confirm({ ...this.now(), sentMs });
  }
}
