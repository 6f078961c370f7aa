/**
 * Time as an interface, so that tests can simulate hours within milliseconds.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** A pending timer. */
export interface Timer {
  /** Cancels the timer; has no effect if it has already fired. */
  cancel(): void;
}

/** Source of the current time and of timers. */
export interface Clock {
  /** Milliseconds since an arbitrary origin. Monotonic; also advances while the process is paused. */
  monotonic(): number;
  /** Current wall-clock time. */
  now(): Date;
  /** Calls `action` once after `delayMs` milliseconds. */
  after(delayMs: number, action: () => void): Timer;
}

/** The system clock. Its timers do not keep the process alive. */
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  now: () => new Date(),
  after(delayMs, action) {
    const handle = setTimeout(action, delayMs);
    handle.unref();
    return { cancel: () => clearTimeout(handle) };
  },
};

/** Resolves once `delayMs` milliseconds have passed on `clock`. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.after(delayMs, resolve));
}

/** A timer of a {@linkcode ManualClock}. */
interface ScheduledTimer {
  /** Milliseconds since the start of the clock. */
  readonly dueMs: number;
  /** Position in the order of creation; breaks ties between timers that are due at the same time. */
  readonly sequence: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** A clock for tests: time advances only through its methods, and timers fire in the order of their due times. */
export class ManualClock implements Clock {
  #elapsedMs = 0;
  #nextSequence = 0;
  readonly #timers = new TimerHeap();
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
    const timer: ScheduledTimer = {
      dueMs: this.#elapsedMs + Math.max(0, delayMs),
      sequence: this.#nextSequence++,
      action,
      cancelled: false,
    };
    this.#timers.push(timer);
    return { cancel: () => void (timer.cancelled = true) };
  }

  /** Advances time and fires every timer that becomes due, including timers that are set meanwhile. */
  advance(milliseconds: number): void {
    const endMs = this.#elapsedMs + milliseconds;
    for (
      let timer = this.#timers.popDue(endMs);
      timer !== undefined;
      timer = this.#timers.popDue(endMs)
    ) {
      if (timer.cancelled) continue;
      this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs);
      timer.action();
    }
    this.#elapsedMs = endMs;
  }

  /** Like {@linkcode advance}, but in steps of `stepMs`, with one turn of the event loop after each step. */
  async run(milliseconds: number, stepMs = 10): Promise<void> {
    for (
      let remainingMs = milliseconds;
      remainingMs > 0;
      remainingMs -= stepMs
    ) {
      this.advance(Math.min(stepMs, remainingMs));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** Binary heap of timers, the earliest first; timers with the same due time keep the order of their creation. */
class TimerHeap {
  readonly #heap: ScheduledTimer[] = [];

  push(timer: ScheduledTimer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  /** Removes and returns the earliest timer if it is due at `nowMs` or before. */
  popDue(nowMs: number): ScheduledTimer | undefined {
    const heap = this.#heap;
    const [first] = heap;
    if (first === undefined || first.dueMs > nowMs) return undefined;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftDown(): void {
    const heap = this.#heap;
    let index = 0;
    for (;;) {
      let first = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const timer = heap[child];
        if (timer !== undefined && isBefore(timer, heap[first]!)) first = child;
      }
      if (first === index) return;
      this.#swap(index, first);
      index = first;
    }
  }

  #swap(a: number, b: number): void {
    const heap = this.#heap;
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }
}

function isBefore(a: ScheduledTimer, b: ScheduledTimer): boolean {
  return a.dueMs < b.dueMs || a.dueMs === b.dueMs && a.sequence < b.sequence;
}
