/**
 * How long a poll of a worker waits for a completion before the worker reports
 * anyway.
 *
 * Load pattern: workers that handle requests while some of the responses are
 * lost. A completion in a lost report is seen only with the next report, so
 * workers are polled more often while responses are being lost.
 *
 * @module
 */

/**
 * Wait of a poll without a completion, milliseconds. Leases last six times as
 * long.
 */
const NORMAL_POLL_WAIT_MS = 1_000;
/**
 * The same while responses are being lost, milliseconds: half of the slack of
 * an urgent submission.
 */
const LOSSY_POLL_WAIT_MS = 250;
/**
 * Time after the last lost response for which responses count as being lost,
 * milliseconds.
 */
const LOSSY_PERIOD_MS = 3_000;

/** Chooses the wait of polls by whether responses have been lost lately. */
export class PollWait {
  #lastLossMs = -Infinity;

  /**
   * Records that a worker responded again after one of its responses was lost.
   * `nowMs`: monotonic milliseconds.
   */
  recordLoss(nowMs: number): void {
    this.#lastLossMs = nowMs;
  }

  /** How long a poll may wait for a completion, milliseconds. */
  waitMs(nowMs: number): number {
    return nowMs - this.#lastLossMs < LOSSY_PERIOD_MS
      ? LOSSY_POLL_WAIT_MS
      : NORMAL_POLL_WAIT_MS;
  }
}
