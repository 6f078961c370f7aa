/**
 * Spans of time, joined where they meet.
 *
 * @module
 */

/** A set of spans, Unix milliseconds. */
export class Spans {
  #spans: { readonly fromMs: number; readonly toMs: number }[] = [];
  #sorted = true;

  /** Adds a span; an empty one is nothing. */
  add(fromMs: number, toMs: number): void {
    if (toMs <= fromMs) return;
    const last = this.#spans.at(-1);
    if (last !== undefined && fromMs >= last.fromMs && fromMs <= last.toMs) {
      const joined = { fromMs: last.fromMs, toMs: Math.max(last.toMs, toMs) };
      this.#spans[this.#spans.length - 1] = joined;
      return;
    }
    this.#sorted &&= last === undefined || fromMs > last.toMs;
    this.#spans.push({ fromMs, toMs });
  }

  /** Milliseconds of a span that these cover. */
  within(fromMs: number, toMs: number): number {
    if (!this.#sorted) this.#join();
    return this.#spans.reduce(
      (sum, span) =>
        sum + Math.max(
          0,
          Math.min(toMs, span.toMs) - Math.max(fromMs, span.fromMs),
        ),
      0,
    );
  }

  #join(): void {
    const unsorted = this.#spans.toSorted((a, b) => a.fromMs - b.fromMs);
    this.#spans = [];
    for (const { fromMs, toMs } of unsorted) this.add(fromMs, toMs);
    this.#sorted = true;
  }
}
