/**
 * Simulated time: a queue that runs actions in the order of their time.
 *
 * @module
 */

interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Priority queue of scheduled actions, with its own clock. */
export class EventQueue {
  readonly #heap: ScheduledAction[] = [];
  #nextOrder = 0;
  #nowMs = 0;

  /** Current simulated time, milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules an action after a delay. */
  after(delayMs: number, action: () => void): void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#insert({ atMs, sequence: this.#nextOrder++, action });
  }

  /** Runs all actions that are due up to a time, in order. */
  runUntil(untilMs: number): void {
    for (
      let event = this.#heap[0];
      event !== undefined && event.atMs <= untilMs;
      event = this.#heap[0]
    ) {
      this.#removeFirst();
      this.#nowMs = event.atMs;
      event.action();
    }
  }

  #insert(event: ScheduledAction): void {
    const heap = this.#heap;
    let position = heap.length;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!precedes(event, heap[parent]!)) break;
      heap[position] = heap[parent]!;
      position = parent;
    }
    heap[position] = event;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let position = 0;
    for (;;) {
      let child = 2 * position + 1;
      if (child >= heap.length) break;
      if (
        child + 1 < heap.length && precedes(heap[child + 1]!, heap[child]!)
      ) child++;
      if (!precedes(heap[child]!, last)) break;
      heap[position] = heap[child]!;
      position = child;
    }
    heap[position] = last;
  }
}

function precedes(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.atMs === b.atMs ? a.sequence < b.sequence : a.atMs < b.atMs;
}
