/**
 * A clock of one process that can be paused on its own.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";

/** Time goes on during a pause; timers that fall due wait for its end. */
export class PausedClock implements Clock {
  readonly #clock: Clock;
  #paused = false;
  #due: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  monotonic(): number {
    return this.#clock.monotonic();
  }

  now(): Date {
    return this.#clock.now();
  }

  after(delayMs: number, action: () => void): Timer {
    let cancelled = false;
    const run = () => {
      if (!cancelled) action();
    };
    const timer = this.#clock.after(delayMs, () => {
      if (this.#paused) this.#due.push(run);
      else run();
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    const due = this.#due;
    this.#due = [];
    for (const action of due) action();
  }
}
