/**
 * How good the expected run times are: the share of runs not longer than the
 * forecast, by queue.
 *
 * Load pattern: run times that change within seconds, so that a forecast is as
 * good as its last runs.
 *
 * @module
 */

/** Most queues that are told in one line. */
const MOST_TOLD = 5;

/** What was forecast for a run, and what it took, milliseconds. */
export interface Forecast {
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly tookMs: number;
}

/** Runs of a queue that are done, and how many of them were not longer than the forecast. */
export interface Coverage {
  readonly queue: string;
  runs: number;
  withinP50: number;
  withinP90: number;
}

/** Forecasts of one holder against what came. */
export class Forecasts {
  readonly #queues = new Map<string, Coverage>();

  /** Takes a run that is done. */
  note(queue: string, { p50Ms, p90Ms, tookMs }: Forecast): void {
    const coverage = this.#queues.get(queue) ??
      { queue, runs: 0, withinP50: 0, withinP90: 0 };
    coverage.runs++;
    if (tookMs <= p50Ms) coverage.withinP50++;
    if (tookMs <= p90Ms) coverage.withinP90++;
    this.#queues.set(queue, coverage);
  }

  /** Tells and forgets what came since it was last asked, the queues with most runs first. */
  take(): readonly Coverage[] {
    const taken = [...this.#queues.values()].sort((a, b) => b.runs - a.runs);
    this.#queues.clear();
    return taken;
  }
}

/** Shares within the p50 and the p90 in short, `QUEUE:P50/P90`; `undefined` without runs. */
export function coverageText(
  coverages: readonly Coverage[],
): string | undefined {
  if (coverages.length === 0) return undefined;
  return coverages.slice(0, MOST_TOLD)
    .map(({ queue, runs, withinP50, withinP90 }) =>
      `${queue}:${share(withinP50, runs)}/${share(withinP90, runs)}`
    )
    .join(",");
}

function share(part: number, all: number): string {
  return (part / all).toFixed(2);
}
