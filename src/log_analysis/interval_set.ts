/**
 * A set of time intervals in which overlapping intervals are merged.
 *
 * @module
 */

/** Time intervals, in Unix milliseconds. Overlapping time is counted once. */
export class IntervalSet {
  #intervals: { readonly fromMs: number; readonly toMs: number }[] = [];
  #sorted = true;

  /** Adds an interval; ignores one that is empty or ends before it starts. */
  add(fromMs: number, toMs: number): void {
    if (toMs <= fromMs) return;
    const last = this.#intervals.at(-1);
    if (last !== undefined && fromMs >= last.fromMs && fromMs <= last.toMs) {
      const merged = { fromMs: last.fromMs, toMs: Math.max(last.toMs, toMs) };
      this.#intervals[this.#intervals.length - 1] = merged;
      return;
    }
    this.#sorted &&= last === undefined || fromMs > last.toMs;
    this.#intervals.push({ fromMs, toMs });
  }

  /** Milliseconds between `fromMs` and `toMs` that the intervals cover. */
  overlapMs(fromMs: number, toMs: number): number {
    if (!this.#sorted) this.#merge();
    return this.#intervals.reduce(
      (sum, interval) =>
        sum + Math.max(
          0,
          Math.min(toMs, interval.toMs) - Math.max(fromMs, interval.fromMs),
        ),
      0,
    );
  }

  #merge(): void {
    const byStart = this.#intervals.toSorted((a, b) => a.fromMs - b.fromMs);
    this.#intervals = [];
    for (const { fromMs, toMs } of byStart) this.add(fromMs, toMs);
    this.#sorted = true;
  }
}
