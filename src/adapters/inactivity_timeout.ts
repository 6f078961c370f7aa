/**
 * Timeout for a connection that makes no progress.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";

/** Options of an {@linkcode InactivityTimeout}. */
export interface InactivityTimeoutOptions {
  readonly clock: Clock;
  readonly timeoutMs: number;
  /** Called once, after `timeoutMs` without progress. */
  readonly onTimeout: () => void;
}

/** Extra time for reading data that has already arrived when the timeout expires. */
const PENDING_READ_GRACE_MS = 20;

/** A timeout that is restarted by every sign of progress. */
export class InactivityTimeout {
  readonly #options: InactivityTimeoutOptions;
  #lastProgressMs: number;
  #inGracePeriod = false;
  #timer: Timer;

  constructor(options: InactivityTimeoutOptions) {
    this.#options = options;
    this.#lastProgressMs = options.clock.monotonic();
    this.#timer = this.#startTimer(options.timeoutMs);
  }

  /** Restarts the timeout. */
  restart(): void {
    this.#lastProgressMs = this.#options.clock.monotonic();
    this.#inGracePeriod = false;
  }

  /** Cancels the timeout. */
  cancel(): void {
    this.#timer.cancel();
  }

  #startTimer(delayMs: number): Timer {
    return this.#options.clock.after(delayMs, () => this.#check());
  }

  /**
   * Calls `onTimeout` only after a grace period: after a pause of the process,
   * timers fire before the data that arrived meanwhile has been read, and that
   * data has to count as progress.
   */
  #check(): void {
    const { clock, timeoutMs, onTimeout } = this.#options;
    const remainingMs = this.#lastProgressMs + timeoutMs - clock.monotonic();
    if (remainingMs > 0) {
      this.#timer = this.#startTimer(remainingMs);
    } else if (!this.#inGracePeriod) {
      this.#inGracePeriod = true;
      this.#timer = this.#startTimer(PENDING_READ_GRACE_MS);
    } else {
      onTimeout();
    }
  }
}
