/**
 * Accuracy of the run time forecasts: for each queue, the share of runs that
 * took no longer than the forecast.
 *
 * Load pattern: run times that change within seconds, so that a forecast is
 * only as good as the latest runs it is based on.
 *
 * @module
 */

/** Most queues in one log line. */
const MAX_LOGGED_QUEUES = 5;

/** The forecast of one run and its actual run time, milliseconds. */
export interface ForecastOutcome {
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly elapsedMs: number;
}

/**
 * Number of completed runs of a queue, and how many of them took no longer than
 * the forecast p50 and p90.
 */
export interface QueueCoverage {
  readonly queue: string;
  runs: number;
  withinP50: number;
  withinP90: number;
}

/** Compares forecasts with actual run times, by queue. */
export class ForecastAccuracy {
  readonly #queues = new Map<string, QueueCoverage>();

  /** Records a completed run. */
  record(
    queue: string,
    { p50Ms, p90Ms, elapsedMs }: ForecastOutcome,
  ): void {
    const coverage = this.#queues.get(queue) ??
      { queue, runs: 0, withinP50: 0, withinP90: 0 };
    coverage.runs++;
    if (elapsedMs <= p50Ms) coverage.withinP50++;
    if (elapsedMs <= p90Ms) coverage.withinP90++;
    this.#queues.set(queue, coverage);
  }

  /**
   * Returns the counts since the last call, the queues with the most runs
   * first, and resets them.
   */
  takeCoverages(): readonly QueueCoverage[] {
    const coverages = [...this.#queues.values()].sort((a, b) =>
      b.runs - a.runs
    );
    this.#queues.clear();
    return coverages;
  }
}

/**
 * Formats the shares of runs within the forecast p50 and p90 as
 * `QUEUE:P50/P90,...`; `undefined` without runs.
 */
export function formatCoverages(
  coverages: readonly QueueCoverage[],
): string | undefined {
  if (coverages.length === 0) return undefined;
  return coverages.slice(0, MAX_LOGGED_QUEUES)
    .map(({ queue, runs, withinP50, withinP90 }) =>
      `${queue}:${formatShare(withinP50, runs)}/${formatShare(withinP90, runs)}`
    )
    .join(",");
}

function formatShare(part: number, all: number): string {
  return (part / all).toFixed(2);
}
