/**
 * Unaccounted requests on a worker: requests of its previous owner, and abandoned requests whose
 * answers are no longer awaited. An upper bound of their number follows from the worker's reports, which lag
 * behind, and the requests known to have been running when a report was taken.
 *
 * @module
 */

/**
 * Uncertainty of the time of a report, milliseconds: requests that start or end this close to it
 * may or may not be included.
 */
const REPORT_TIME_TOLERANCE_MS = 50;
/** How long finished requests are kept for comparison with lagging reports, milliseconds. */
const FINISHED_RETENTION_MS = 10_000;

interface RequestInterval {
  readonly startMs: number;
  endMs: number;
}

/** Number of running requests that a worker reports. */
export interface RequestCount {
  /** Earliest time at which the count may have been taken, monotonic milliseconds. */
  readonly earliestAtMs: number;
  /** Latest time at which the count may have been taken, monotonic milliseconds. */
  readonly latestAtMs: number;
  readonly requests: number;
}

/** Tracks the requests of one worker. */
export class UnaccountedRequests {
  readonly #active = new Map<string, RequestInterval>();
  #finished: RequestInterval[] = [];
  /** When requests were abandoned that the last report may not include yet. */
  #abandonedAtMs: number[] = [];
  /** The last report, and the upper bound before it. */
  #last: { readonly report: RequestCount; readonly bound: number } | undefined;
  #count = 0;
  #hasReport = false;
  #ownedSinceMs: number;

  /** `ownedSinceMs`: when this instance became the owner of the worker. */
  constructor(ownedSinceMs: number) {
    this.#ownedSinceMs = ownedSinceMs;
  }

  /** Whether a report taken since the change of owner has arrived. */
  get hasReport(): boolean {
    return this.#hasReport;
  }

  /** Upper bound of the number of unaccounted requests. */
  get maxCount(): number {
    return this.#count;
  }

  /** Number of requests in flight from this instance. */
  get inFlight(): number {
    return this.#active.size;
  }

  /** Records a request immediately before it is sent. */
  recordSent(id: string, nowMs: number): void {
    this.#active.set(id, { startMs: nowMs, endMs: Infinity });
  }

  /** Records that a request was answered, or was never sent. */
  recordCompletion(id: string, nowMs: number): void {
    const interval = this.#active.get(id);
    if (interval === undefined) return;
    interval.endMs = nowMs;
    this.#active.delete(id);
    this.#finished.push(interval);
    if (this.#last === undefined) return;
    this.#count = Math.max(this.#count, this.#upperBound(this.#last));
  }

  /** Records that a request was abandoned; it may still run on the worker. */
  recordAbandoned(id: string, nowMs: number): void {
    if (!this.#active.delete(id)) return;
    this.#count++;
    this.#abandonedAtMs.push(nowMs);
    this.#last = undefined;
  }

  /** Updates the upper bound from a report. Reports from before the change of owner are ignored. */
  recordReport(report: RequestCount): void {
    const { earliestAtMs } = report;
    if (earliestAtMs < this.#ownedSinceMs) return;
    this.#abandonedAtMs = this.#abandonedAtMs.filter((atMs) =>
      atMs >= earliestAtMs
    );
    this.#last = {
      report,
      bound: this.#hasReport ? this.#count : Infinity,
    };
    this.#count = this.#upperBound(this.#last);
    this.#hasReport = true;
    this.#finished = this.#finished.filter((interval) =>
      interval.endMs > earliestAtMs - FINISHED_RETENTION_MS
    );
  }

  /** Starts over after this instance has become the owner again. */
  reset(nowMs: number): void {
    this.#hasReport = false;
    this.#last = undefined;
    this.#ownedSinceMs = nowMs;
  }

  #upperBound(
    { report, bound }: {
      readonly report: RequestCount;
      readonly bound: number;
    },
  ): number {
    const unaccounted = report.requests - this.#runningThroughout(report);
    return Math.min(
      bound,
      Math.max(0, unaccounted) + this.#abandonedAtMs.length,
    );
  }

  /** Number of requests that ran throughout the interval in which the report may have been taken. */
  #runningThroughout(
    { earliestAtMs, latestAtMs }: RequestCount,
  ): number {
    const intervals = [...this.#active.values(), ...this.#finished];
    return intervals.filter((interval) =>
      interval.startMs <= earliestAtMs - REPORT_TIME_TOLERANCE_MS &&
      interval.endMs >= latestAtMs + REPORT_TIME_TOLERANCE_MS
    ).length;
  }
}
