/**
 * How fast a queue empties, measured over a sliding window.
 *
 * @module
 */

/** Length of the window. */
const WINDOW_MS = 10_000;
/** Parts of the window that are dropped one at a time. */
const BINS = 20;
const BIN_MS = WINDOW_MS / BINS;
/** Departures below which the rate counts as unknown. */
const MIN_DEPARTURES = 5;
/** Shortest advice to a refused caller. */
const MIN_RETRY_MS = 100;
/** Longest advice to a refused caller. */
const MAX_RETRY_MS = 60_000;
/** Advice while the rate is unknown. */
const UNKNOWN_RETRY_MS = 1_000;

/** The measured rate of one queue. Times are monotonic milliseconds. */
export class DrainRate {
  readonly #bins = new Array<number>(BINS).fill(0);
  readonly #startMs: number;
  #bin: number;
  #departures = 0;

  constructor(nowMs: number) {
    this.#startMs = nowMs;
    this.#bin = binOf(nowMs);
  }

  /** Notes that items left the queue for a worker. */
  record(nowMs: number, count = 1): void {
    this.#advance(nowMs);
    this.#bins[this.#bin % BINS]! += count;
    this.#departures += count;
  }

  /** Departures a second; `undefined` while too few were seen. */
  perSecond(nowMs: number): number | undefined {
    this.#advance(nowMs);
    if (this.#departures < MIN_DEPARTURES) return undefined;
    const seenMs = Math.min(nowMs - this.#startMs, WINDOW_MS);
    return this.#departures * 1_000 / Math.max(seenMs, BIN_MS);
  }

  /** When a caller that was refused with so many waiting should ask again. */
  retryAfterMs(waiting: number, nowMs: number): number {
    const rate = this.perSecond(nowMs);
    if (rate === undefined) return UNKNOWN_RETRY_MS;
    const drainMs = Math.ceil(waiting * 1_000 / rate);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, drainMs));
  }

  /** Whether an item with so many ahead of it leaves within its budget; true while the rate is unknown. */
  canAnswerInTime(
    ahead: number,
    options: { readonly budgetMs: number; readonly nowMs: number },
  ): boolean {
    const rate = this.perSecond(options.nowMs);
    return rate === undefined || ahead * 1_000 / rate <= options.budgetMs;
  }

  #advance(nowMs: number): void {
    const bin = binOf(nowMs);
    const stale = Math.min(bin - this.#bin, BINS);
    for (let i = 1; i <= stale; i++) {
      const index = (this.#bin + i) % BINS;
      this.#departures -= this.#bins[index]!;
      this.#bins[index] = 0;
    }
    this.#bin = Math.max(bin, this.#bin);
  }
}

function binOf(nowMs: number): number {
  return Math.floor(nowMs / BIN_MS);
}
