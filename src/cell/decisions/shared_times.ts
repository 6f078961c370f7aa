/**
 * How far the run times of one job's tasks go together on a worker.
 *
 * Load pattern: submissions all of whose tasks are long, placed on one worker.
 * Each of them by itself would tell of a slow worker; together they tell little
 * more than one. Independent run times count in full.
 *
 * @module
 */

/** Jobs of a worker that are remembered: those that it runs at once. */
const MOST_JOBS = 8;
/** Weight of a pair of runs in what they have in common, which changes with the kinds of work alone. */
const RATE = 1 / 2_000;
/** Pairs for which the first guess counts: nearly all is in common. */
const GUESS_PAIRS = 40;
const GUESS = 0.9;
/** First guess of a run's mean place among those of its job: two or three together. */
const GUESS_PLACE = 1.75;

/** Runs from which a worker's level is good enough to tell what its runs have in common. */
const KNOWN_RUNS = 2;

/** Runs of one job on one worker. */
export interface JobRuns {
  readonly job: string;
  /** Level of the worker before the first of them, natural logarithm. */
  readonly level: number;
  /** Runs that the level stood for then. */
  readonly levelRuns: number;
  runs: number;
  /** Sum of their differences from the level. */
  sum: number;
}

/** Runs of a job among the last jobs of a worker. */
export function runsOf(
  { jobs, track }: {
    readonly jobs: JobRuns[];
    readonly track: { readonly level: number; readonly runs: number };
  },
  job: string,
): JobRuns {
  for (const known of jobs) {
    if (known.job === job) return known;
  }
  if (jobs.length >= MOST_JOBS) jobs.shift();
  const { level, runs: levelRuns } = track;
  const made = { job, level, levelRuns, runs: 0, sum: 0 };
  jobs.push(made);
  return made;
}

/** What the run times of a job's tasks have in common, in one service. */
export class SharedTimes {
  #share = GUESS;
  /** Mean place of a run among those of its job on a worker, from 1 on. */
  #place = GUESS_PLACE;
  #pairs = GUESS_PAIRS;
  #runs = 0;

  /** Share of the variance that the tasks of a job on a worker have in common, 0 to 1. */
  get share(): number {
    return Math.min(1, Math.max(0, this.#share));
  }

  /** Independent runs for which the next run of a job counts, more than 0 and at most 1. */
  weightOf({ runs }: JobRuns): number {
    // All runs of a job count the same, so how many will come is guessed.
    const together = Math.max(runs + 1, 2 * this.#place - 1);
    return 1 / (1 + (together - 1) * this.share);
  }

  /** Takes the bounded difference of a run from the level before its job. */
  note(
    runs: JobRuns,
    { difference, noise }: {
      readonly difference: number;
      /** Variance of the differences. */
      readonly noise: number;
    },
  ): void {
    if (runs.runs > 0 && runs.levelRuns >= KNOWN_RUNS) {
      const both = difference * runs.sum / runs.runs / noise;
      // The error of the level is in both of them.
      const common = both - 1 / runs.levelRuns;
      const rate = Math.max(RATE, 1 / ++this.#pairs);
      this.#share += rate * (common - this.#share);
    }
    runs.runs++;
    const rate = Math.max(RATE, 1 / (GUESS_PAIRS + ++this.#runs));
    this.#place += rate * (runs.runs - this.#place);
    runs.sum += difference;
  }
}
