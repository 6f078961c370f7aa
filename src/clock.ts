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
  cancelled: boolean;
}

/** A clock that moves only when told to; timers fire in order of their time. */
export class ManualClock implements Clock {
  #elapsedMs = 0;
  #order = 0;
  readonly #alarms = new AlarmHeap();
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
    const alarm: Alarm = {
      at: this.#elapsedMs + Math.max(0, delayMs),
      order: this.#order++,
      action,
      cancelled: false,
    };
    this.#alarms.push(alarm);
    return { cancel: () => void (alarm.cancelled = true) };
  }

  /** Moves time forward, firing every timer that falls due on the way. */
  advance(milliseconds: number): void {
    const end = this.#elapsedMs + milliseconds;
    for (
      let due = this.#alarms.popUntil(end);
      due !== undefined;
      due = this.#alarms.popUntil(end)
    ) {
      if (due.cancelled) continue;
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
}

/** Alarms as a binary heap, the earliest first, those of one time in the order of their making. */
class AlarmHeap {
  readonly #heap: Alarm[] = [];

  push(alarm: Alarm): void {
    const heap = this.#heap;
    let at = heap.push(alarm) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(heap[at]!, heap[parent]!)) return;
      this.#swap(at, parent);
      at = parent;
    }
  }

  /** Takes the first alarm out if it is due by `endMs`. */
  popUntil(endMs: number): Alarm | undefined {
    const heap = this.#heap;
    const [first] = heap;
    if (first === undefined || first.at > endMs) return undefined;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      this.#sink();
    }
    return first;
  }

  #sink(): void {
    const heap = this.#heap;
    let at = 0;
    for (;;) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        const alarm = heap[child];
        if (alarm !== undefined && isBefore(alarm, heap[least]!)) least = child;
      }
      if (least === at) return;
      this.#swap(at, least);
      at = least;
    }
  }

  #swap(a: number, b: number): void {
    const heap = this.#heap;
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }
}

function isBefore(a: Alarm, b: Alarm): boolean {
  return a.at < b.at || a.at === b.at && a.order < b.order;
}
