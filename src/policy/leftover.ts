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
  /** Latest time at which the figures may have been taken, monotonic milliseconds. */
  readonly measuredByMs: number;
  readonly requests: number;
}

/** The requests of one worker. */
export class Leftover {
  readonly #active = new Map<string, Span>();
  #finished: Span[] = [];
  /** When requests were given up that the last report cannot tell of. */
  #lostAtMs: number[] = [];
  /** The last report, and the count before it. */
  #last: { readonly sighting: Sighting; readonly before: number } | undefined;
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
    if (this.#last === undefined) return;
    this.#count = Math.max(this.#count, this.#mostAfter(this.#last));
  }

  /** A request was given up; it may go on at the worker. */
  lost(id: string, nowMs: number): void {
    if (!this.#active.delete(id)) return;
    this.#count++;
    this.#lostAtMs.push(nowMs);
    this.#last = undefined;
  }

  /** Takes a report in. */
  sighted(sighting: Sighting): void {
    const { measuredAtMs } = sighting;
    if (measuredAtMs < this.#sinceMs) return;
    this.#lostAtMs = this.#lostAtMs.filter((atMs) => atMs >= measuredAtMs);
    this.#last = { sighting, before: this.#known ? this.#count : Infinity };
    this.#count = this.#mostAfter(this.#last);
    this.#known = true;
    this.#finished = this.#finished.filter((span) =>
      span.endMs > measuredAtMs - HISTORY_MS
    );
  }

  /** This instance has become the owner anew. */
  reset(nowMs: number): void {
    this.#known = false;
    this.#last = undefined;
    this.#sinceMs = nowMs;
  }

  #mostAfter(
    { sighting, before }: {
      readonly sighting: Sighting;
      readonly before: number;
    },
  ): number {
    const unaccounted = sighting.requests - this.#runningAll(sighting);
    return Math.min(before, Math.max(0, unaccounted) + this.#lostAtMs.length);
  }

  /** Requests that ran during all the time in which a report may have been taken. */
  #runningAll({ measuredAtMs, measuredByMs }: Sighting): number {
    const spans = [...this.#active.values(), ...this.#finished];
    return spans.filter((span) =>
      span.startMs <= measuredAtMs - REPORT_BLUR_MS &&
      span.endMs >= measuredByMs + REPORT_BLUR_MS
    ).length;
  }
}
