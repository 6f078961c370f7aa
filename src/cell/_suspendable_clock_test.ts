/**
 * A clock of a machine that can be suspended, for tests.
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
