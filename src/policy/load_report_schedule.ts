/**
 * Schedules the load reports that an instance sends to its peers.
 *
 * @module
 */

/** How soon peers need a report of a change. */
export type ChangePriority =
  /** Peers have to act on the change at once. */
  | "pressing"
  /** The change may be batched with later ones. */
  | "ordinary";

/** Settings of {@linkcode LoadReportSchedule}. */
export interface LoadReportScheduleOptions {
  /** Minimum time between two reports of ordinary changes, milliseconds. */
  readonly ordinaryGapMs: number;
  /** Minimum time between two reports of pressing changes, milliseconds. */
  readonly pressingGapMs: number;
}

/** Batches changes into few load reports. Without changes no report becomes due. */
export class LoadReportSchedule {
  readonly #options: LoadReportScheduleOptions;
  #sentAtMs = -Infinity;
  #dueAtMs = Infinity;

  constructor(options: LoadReportScheduleOptions) {
    this.#options = options;
  }

  /** Records a change and brings the next report forward if necessary. */
  recordChange(change: ChangePriority, nowMs: number): void {
    const minIntervalMs = change === "pressing"
      ? this.#options.pressingGapMs
      : this.#options.ordinaryGapMs;
    const dueAtMs = Math.max(nowMs, this.#sentAtMs + minIntervalMs);
    this.#dueAtMs = Math.min(this.#dueAtMs, dueAtMs);
  }

  /** When the next report is due, monotonic milliseconds; infinite if nothing has changed since the last one. */
  get dueAtMs(): number {
    return this.#dueAtMs;
  }

  /** Records that a report was sent, which covers all changes recorded so far. */
  recordSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
    this.#dueAtMs = Infinity;
  }
}
