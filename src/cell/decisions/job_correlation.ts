/**
 * Correlation between the run times of one job's tasks on a worker.
 *
 * Load pattern: submissions all of whose tasks are long, placed on one worker.
 * Each task counted separately would make the worker look slow, although
 * together they tell little more than one task does. Uncorrelated run times
 * count in full.
 *
 * @module
 */

/** Jobs of a worker that are remembered: about as many as run there at once. */
const MAX_JOBS = 8;
/**
 * Smallest weight of a pair of runs in the correlation, which changes only with
 * the kinds of work.
 */
const MIN_RATE = 1 / 2_000;
/**
 * Number of pairs that the prior correlation is worth. The prior is nearly full
 * correlation.
 */
const PRIOR_PAIRS = 40;
const PRIOR_CORRELATION = 0.9;
/**
 * Prior for a run's mean position among the runs of its job on a worker: two or
 * three runs together.
 */
const PRIOR_POSITION = 1.75;

/**
 * Runs that a worker's level must be worth before the correlation is learned
 * from its runs.
 */
const MIN_LEVEL_RUNS = 2;

/** Runs of one job on one worker. */
export interface JobRuns {
  readonly job: string;
  /** Level of the worker before the first of them, natural logarithm. */
  readonly startLevel: number;
  /** Runs that this level was worth. */
  readonly levelRuns: number;
  runs: number;
  /** Sum of the differences of the runs from this level. */
  differenceSum: number;
}

/** The entry of a job among the last jobs of a worker; created if missing. */
export function jobRunsOf(
  { jobs, level }: {
    readonly jobs: JobRuns[];
    readonly level: { readonly value: number; readonly runs: number };
  },
  job: string,
): JobRuns {
  for (const existing of jobs) {
    if (existing.job === job) return existing;
  }
  if (jobs.length >= MAX_JOBS) jobs.shift();
  const { value: startLevel, runs: levelRuns } = level;
  const created = { job, startLevel, levelRuns, runs: 0, differenceSum: 0 };
  jobs.push(created);
  return created;
}

/**
 * Intraclass correlation of run times within a job, learned for one service.
 */
export class JobCorrelation {
  #correlation = PRIOR_CORRELATION;
  /**
   * Mean position of a run among the runs of its job on a worker, counted from
   * 1.
   */
  #meanPosition = PRIOR_POSITION;
  #pairs = PRIOR_PAIRS;
  #runs = 0;

  /**
   * Share of the variance that is common to the tasks of a job on a worker, 0
   * to 1.
   */
  get correlation(): number {
    return Math.min(1, Math.max(0, this.#correlation));
  }

  /**
   * Number of independent runs that the next run of a job is worth, more than 0
   * and at most 1: the inverse of the design effect.
   */
  weightOf({ runs }: JobRuns): number {
    // All runs of a job should have the same weight, so the number of runs
    // still to come is estimated.
    const groupSize = Math.max(runs + 1, 2 * this.#meanPosition - 1);
    return 1 / (1 + (groupSize - 1) * this.correlation);
  }

  /**
   * Records the clipped difference of a run from the worker's level before the
   * job.
   */
  record(
    jobRuns: JobRuns,
    { difference, noise }: {
      readonly difference: number;
      /** Variance of the differences. */
      readonly noise: number;
    },
  ): void {
    if (jobRuns.runs > 0 && jobRuns.levelRuns >= MIN_LEVEL_RUNS) {
      const product = difference * jobRuns.differenceSum / jobRuns.runs / noise;
      // Both differences contain the error of the level.
      const correlation = product - 1 / jobRuns.levelRuns;
      const rate = Math.max(MIN_RATE, 1 / ++this.#pairs);
      this.#correlation += rate * (correlation - this.#correlation);
    }
    jobRuns.runs++;
    const rate = Math.max(MIN_RATE, 1 / (PRIOR_PAIRS + ++this.#runs));
    this.#meanPosition += rate * (jobRuns.runs - this.#meanPosition);
    jobRuns.differenceSum += difference;
  }
}
