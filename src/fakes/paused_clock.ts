/**
 * Clock of one simulated process that can be paused independently.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";

/** A clock whose time advances during a pause, but whose timers that become due wait until `resume`. */
export class PausedClock implements Clock {
  readonly #clock: Clock;
  #paused = false;
  #delayed: (() => void)[] = [];

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
      if (this.#paused) this.#delayed.push(run);
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
    const delayed = this.#delayed;
    this.#delayed = [];
    for (const action of delayed) action();
  }
}
