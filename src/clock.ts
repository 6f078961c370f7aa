/**
 * Time as an interface, so that tests can drive hours in microseconds.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** A pending timer. */
export interface Timer {
  /** Stops the timer; a timer that already fired is left alone. */
  cancel(): void;
}

/** Source of time and timers. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary origin; keeps counting while the process is paused. */
  monotonic(): number;
  /** Wall-clock time. */
  now(): Date;
  /** Calls `action` once after `delayMs` milliseconds. */
  after(delayMs: number, action: () => void): Timer;
}

/** The clock of the machine. Its timers do not keep the process alive. */
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  now: () => new Date(),
  after(delayMs, action) {
    const handle = setTimeout(action, delayMs);
    handle.unref();
    return { cancel: () => clearTimeout(handle) };
  },
};

/** Resolves after `delayMs` milliseconds of `clock`. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.after(delayMs, resolve));
}

interface Alarm {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** A clock that moves only when told to; timers fire in order of their time. */
export class ManualClock implements Clock {
  #elapsedMs = 0;
  #order = 0;
  #alarms: Alarm[] = [];
  readonly #origin: number;

  constructor(origin: Date = new Date("2026-01-01T00:00:00Z")) {
    this.#origin = origin.getTime();
  }

  monotonic(): number {
    return this.#elapsedMs;
  }

  now(): Date {
    return new Date(this.#origin + this.#elapsedMs);
  }

  after(delayMs: number, action: () => void): Timer {
    const alarm = {
      at: this.#elapsedMs + Math.max(0, delayMs),
      order: this.#order++,
      action,
    };
    this.#alarms.push(alarm);
    return {
      cancel: () => {
        this.#alarms = this.#alarms.filter((other) => other !== alarm);
      },
    };
  }

  /** Moves time forward, firing every timer that falls due on the way. */
  advance(milliseconds: number): void {
    const end = this.#elapsedMs + milliseconds;
    for (
      let due = this.#nextDue(end);
      due !== undefined;
      due = this.#nextDue(end)
    ) {
      this.#alarms = this.#alarms.filter((other) => other !== due);
      this.#elapsedMs = Math.max(this.#elapsedMs, due.at);
      due.action();
    }
    this.#elapsedMs = end;
  }

  /** As {@linkcode advance}, letting promises settle after each step of `stepMs`. */
  async run(milliseconds: number, stepMs = 10): Promise<void> {
    for (let left = milliseconds; left > 0; left -= stepMs) {
      this.advance(Math.min(stepMs, left));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #nextDue(end: number): Alarm | undefined {
    return this.#alarms
      .filter((alarm) => alarm.at <= end)
      .sort((a, b) => a.at - b.at || a.order - b.order)[0];
  }
}
