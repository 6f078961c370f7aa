/**
 * Injected time: actions run in order of their time.
 *
 * @module
 */

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** A queue of future actions. */
export class Events {
  readonly #heap: Event[] = [];
  #order = 0;
  #nowMs = 0;

  /** Present time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs an action later. */
  after(delayMs: number, action: () => void): void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#rise({ atMs, order: this.#order++, action });
  }

  /** Runs all actions up to a time. */
  run(untilMs: number): void {
    for (
      let event = this.#heap[0];
      event !== undefined && event.atMs <= untilMs;
      event = this.#heap[0]
    ) {
      this.#drop();
      this.#nowMs = event.atMs;
      event.action();
    }
  }

  #rise(event: Event): void {
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

  #drop(): void {
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

function precedes(a: Event, b: Event): boolean {
  return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}
