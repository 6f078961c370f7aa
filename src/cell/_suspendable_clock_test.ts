/**
 * Clocks of machines that can be suspended, for tests.
 *
 * @module
 */
import { ManualClock } from "../clock.ts";

/** A machine whose monotonic clock stops while it is suspended. */
export class SuspendableClock extends ManualClock {
  #suspendedMs = 0;

  suspend(milliseconds: number): void {
    this.#suspendedMs += milliseconds;
  }

  override now(): Date {
    return new Date(super.now().getTime() + this.#suspendedMs);
  }
}

/** A machine whose monotonic clock continues while it is suspended. */
export class StallableClock extends ManualClock {
  /** Duration of a suspension at each reading of the monotonic clock, milliseconds. */
  stallMs = 0;
  #stalledMs = 0;

  override monotonic(): number {
    this.#stalledMs += this.stallMs;
    return super.monotonic() + this.#stalledMs;
  }
}
