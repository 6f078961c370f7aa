/**
 * How long a worker is asked to wait for an end before it reports.
 *
 * Load pattern: workers that carry out calls and leave some of them unanswered.
 * An end that falls into a report that is lost is seen with the next one, so
 * while answers are being lost reports are asked for more often.
 *
 * @module
 */

/** A report is asked for this often if nothing ends, milliseconds; leases last six times as long. */
const CALM_WAIT_MS = 1_000;
/** The same while answers are being lost, milliseconds: half of what an urgent submission has to spare. */
const TROUBLED_WAIT_MS = 250;
/** Answers count as being lost for so long after the last one, milliseconds. */
const TROUBLED_FOR_MS = 3_000;

/** Answers that were lost though the worker lives. */
export class LostAnswers {
  #lastMs = -Infinity;

  /** A worker has answered after a call of it stayed without an answer. `nowMs`: monotonic milliseconds. */
  note(nowMs: number): void {
    this.#lastMs = nowMs;
  }

  /** How long a report may wait for an end, milliseconds. */
  waitMs(nowMs: number): number {
    return nowMs - this.#lastMs < TROUBLED_FOR_MS
      ? TROUBLED_WAIT_MS
      : CALM_WAIT_MS;
  }
}
