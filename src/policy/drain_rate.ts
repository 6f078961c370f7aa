/**
 * Measures how fast a queue drains, over a sliding window.
 *
 * @module
 */

/** Length of the sliding window. */
const WINDOW_MS = 10_000;
/** Number of bins in the window; the oldest bin is dropped as a whole. */
const BIN_COUNT = 20;
const BIN_MS = WINDOW_MS / BIN_COUNT;
/** With fewer departures in the window the rate is unknown. */
const MIN_DEPARTURES = 5;
/** Minimum retry delay for a rejected caller. */
const MIN_RETRY_DELAY_MS = 100;
/** Maximum retry delay for a rejected caller. */
const MAX_RETRY_DELAY_MS = 60_000;
/** Retry delay while the rate is unknown. */
const DEFAULT_RETRY_DELAY_MS = 1_000;

/** Drain rate of one queue. Times are monotonic milliseconds. */
export class DrainRate {
  readonly #bins = new Array<number>(BIN_COUNT).fill(0);
  readonly #startMs: number;
  #currentBin: number;
  #departures = 0;

  constructor(nowMs: number) {
    this.#startMs = nowMs;
    this.#currentBin = binOf(nowMs);
  }

  /** Records that `count` items left the queue for a worker. */
  recordDepartures(nowMs: number, count = 1): void {
    this.#advance(nowMs);
    this.#bins[this.#currentBin % BIN_COUNT]! += count;
    this.#departures += count;
  }

  /** Departures per second; `undefined` while there are too few to tell. */
  perSecond(nowMs: number): number | undefined {
    this.#advance(nowMs);
    if (this.#departures < MIN_DEPARTURES) return undefined;
    const observedMs = Math.min(nowMs - this.#startMs, WINDOW_MS);
    return this.#departures * 1_000 / Math.max(observedMs, BIN_MS);
  }

  /** Retry delay in milliseconds for a caller that was rejected while `waiting` items were queued. */
  retryAfterMs(waiting: number, nowMs: number): number {
    const rate = this.perSecond(nowMs);
    if (rate === undefined) return DEFAULT_RETRY_DELAY_MS;
    const drainMs = Math.ceil(waiting * 1_000 / rate);
    return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, drainMs));
  }

  /**
   * Whether an item with `ahead` items before it leaves the queue within its time budget; true
   * while the rate is unknown.
   */
  canAnswerInTime(
    ahead: number,
    options: { readonly budgetMs: number; readonly nowMs: number },
  ): boolean {
    const rate = this.perSecond(options.nowMs);
    return rate === undefined || ahead * 1_000 / rate <= options.budgetMs;
  }

  #advance(nowMs: number): void {
    const bin = binOf(nowMs);
    const expiredBins = Math.min(bin - this.#currentBin, BIN_COUNT);
    for (let i = 1; i <= expiredBins; i++) {
      const index = (this.#currentBin + i) % BIN_COUNT;
      this.#departures -= this.#bins[index]!;
      this.#bins[index] = 0;
    }
    this.#currentBin = Math.max(bin, this.#currentBin);
  }
}

function binOf(nowMs: number): number {
  return Math.floor(nowMs / BIN_MS);
}
