/**
 * Requests on a worker that nobody accounts for: those of its former owner,
 * and those whose answers were given up. Their number is bounded from above
 * by comparing the worker's lagging reports with the requests known to have
 * been running at the time of the report.
 *
 * @module
 */

/** A request this close to the time of a report may or may not be in it, milliseconds. */
const REPORT_BLUR_MS = 50;
/** Finished requests older than any report are forgotten, milliseconds. */
const HISTORY_MS = 10_000;

interface Span {
  readonly startMs: number;
  endMs: number;
}

/** A worker's count of running requests. */
export interface Sighting {
  /** Earliest time at which the figures may have been taken, monotonic milliseconds. */
  readonly measuredAtMs: number;
  readonly requests: number;
}

/** The requests of one worker. */
export class Leftover {
  readonly #active = new Map<string, Span>();
  #finished: Span[] = [];
  #count = 0;
  #known = false;
  #sinceMs: number;

  /** `sinceMs`: when this instance became the owner. */
  constructor(sinceMs: number) {
    this.#sinceMs = sinceMs;
  }

  /** Whether a report taken since the change of owner has been seen. */
  get known(): boolean {
    return this.#known;
  }

  /** Most requests that may run unaccounted. */
  get count(): number {
    return this.#count;
  }

  /** Requests of this instance in flight. */
  get active(): number {
    return this.#active.size;
  }

  /** A request is about to be sent. */
  started(id: string, nowMs: number): void {
    this.#active.set(id, { startMs: nowMs, endMs: Infinity });
  }

  /** A request was answered, or never sent. */
  ended(id: string, nowMs: number): void {
    const span = this.#active.get(id);
    if (span === undefined) return;
    span.endMs = nowMs;
    this.#active.delete(id);
    this.#finished.push(span);
  }

  /** A request was given up; it may go on at the worker. */
  lost(id: string): void {
    if (this.#active.delete(id)) this.#count++;
  }

  /** Takes a report in. */
  sighted(sighting: Sighting): void {
    const { measuredAtMs, requests } = sighting;
    if (measuredAtMs < this.#sinceMs) return;
    const unaccounted = Math.max(0, requests - this.#runningAt(measuredAtMs));
    const known = this.#known;
    this.#count = known ? Math.min(this.#count, unaccounted) : unaccounted;
    this.#known = true;
    this.#finished = this.#finished.filter((span) =>
      span.endMs > measuredAtMs - HISTORY_MS
    );
  }

  /** This instance has become the owner anew. */
  reset(nowMs: number): void {
    this.#known = false;
    this.#sinceMs = nowMs;
  }

  #runningAt(timeMs: number): number {
    const spans = [...this.#active.values(), ...this.#finished];
    return spans.filter((span) =>
      span.startMs <= timeMs - REPORT_BLUR_MS &&
      span.endMs >= timeMs + REPORT_BLUR_MS
    ).length;
  }
}
