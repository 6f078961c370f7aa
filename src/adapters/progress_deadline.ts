/**
 * Tells when a connection has made no progress for too long.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";

/** Settings of a deadline. */
export interface ProgressDeadlineOptions {
  readonly clock: Clock;
  readonly timeoutMs: number;
  /** Called once, when the time is over. */
  readonly expired: () => void;
}

/** Time after the deadline in which data that has arrived is read. */
const LAST_READ_MS = 20;

/** A deadline that every progress puts off. */
export class ProgressDeadline {
  readonly #options: ProgressDeadlineOptions;
  #progressAt: number;
  #overdue = false;
  #timer: Timer;

  constructor(options: ProgressDeadlineOptions) {
    this.#options = options;
    this.#progressAt = options.clock.monotonic();
    this.#timer = this.#arm(options.timeoutMs);
  }

  /** Starts the time anew. */
  progress(): void {
    this.#progressAt = this.#options.clock.monotonic();
    this.#overdue = false;
  }

  /** Stops the time. */
  cancel(): void {
    this.#timer.cancel();
  }

  #arm(delayMs: number): Timer {
    return this.#options.clock.after(delayMs, () => this.#check());
  }

  /** A process that was paused finds its timers due before it has read what arrived meanwhile. */
  #check(): void {
    const { clock, timeoutMs, expired } = this.#options;
    const leftMs = this.#progressAt + timeoutMs - clock.monotonic();
    if (leftMs > 0) {
      this.#timer = this.#arm(leftMs);
    } else if (!this.#overdue) {
      this.#overdue = true;
      this.#timer = this.#arm(LAST_READ_MS);
    } else {
      expired();
    }
  }
}
