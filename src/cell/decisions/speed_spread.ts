/**
 * Tests whether the workers of a service differ in speed by more than chance,
 * and by how much.
 *
 * Load pattern: services with even workers whose measured levels differ by
 * chance only, next to services with workers that are in fact slow and fast.
 * The variance between workers is the DerSimonian-Laird estimate.
 *
 * @module
 */
import type { WorkerSpeed } from "./worker_speeds.ts";

/**
 * Standard deviation of a run around its worker's level before any is measured,
 * natural logarithm: run times that vary by half.
 */
export const PRIOR_NOISE = 0.47;
/** Workers with fewer runs are left out of the comparison. */
const MIN_RUNS = 3;
/**
 * In services with fewer workers, workers are only tested one by one, as
 * outliers.
 */
const MIN_WORKERS = 8;
/**
 * Standard deviations by which the spread must exceed the one expected by
 * chance. The threshold is high because the test is made twice a second for
 * days.
 */
const UNEVEN_MIN_DEVIATIONS = 10;
/**
 * Standard deviation between workers above which a service becomes uneven,
 * natural logarithm: a third of the workers are off by more than that. False
 * detections of shifted levels alone can add up to 0.1.
 */
const UNEVEN_ABOVE = 0.13;
/** Standard deviation below which an uneven service becomes even again. */
const EVEN_BELOW = 0.08;
/**
 * Difference above which a single worker becomes an outlier, natural logarithm:
 * a quarter.
 */
const OUTLIER_ABOVE = 0.22;
/** Difference below which it is no longer an outlier. */
const INLIER_BELOW = 0.1;
/**
 * Standard deviations above which a single worker becomes an outlier, and below
 * which it no longer is one.
 */
const OUTLIER_MIN_DEVIATIONS = 6;
const INLIER_MAX_DEVIATIONS = 3;
/**
 * Fewest runs of an outlier: among hundreds of workers, some have three long
 * jobs in a row by chance.
 */
const OUTLIER_MIN_RUNS = 6;

/** Result of the comparison of a service's workers. */
export interface SpeedAssessment {
  readonly uneven: boolean;
  /** Mean level of the workers, natural logarithm. */
  readonly mean: number;
  /** Variance of the levels between workers. */
  readonly betweenVariance: number;
}

/** Compares the workers of a service. */
export function assessSpeeds(
  speeds: Iterable<WorkerSpeed>,
  { noise, previous }: {
    /** Variance of one run around its worker's level. */
    readonly noise: number;
    readonly previous: SpeedAssessment;
  },
): SpeedAssessment {
  const compared = [...speeds].filter(({ level, outlier }) =>
    level.runs > 0 && (previous.uneven || !outlier)
  );
  const reliable = new WeightedSums();
  for (const { level } of compared) {
    if (level.runs >= MIN_RUNS) reliable.add(level.value, level.runs / noise);
  }
  const expectedSquares = reliable.count - 1;
  const isComparable = reliable.count >= MIN_WORKERS;
  const excess = isComparable
    ? Math.max(0, reliable.squares - expectedSquares)
    : 0;
  const betweenVariance = isComparable ? excess / reliable.spreadWeight : 0;
  const all = new WeightedSums();
  for (const { level: { value, runs } } of compared) {
    all.add(value, 1 / (noise / runs + betweenVariance));
  }
  const spread = Math.sqrt(betweenVariance);
  const uneven = previous.uneven
    ? spread > EVEN_BELOW
    : spread > UNEVEN_ABOVE &&
      excess > UNEVEN_MIN_DEVIATIONS * Math.sqrt(2 * expectedSquares);
  return { uneven, mean: all.mean, betweenVariance };
}

/**
 * Whether a worker differs from the mean of its service by more than chance.
 */
export function isOutlier(
  { level, outlier }: WorkerSpeed,
  { noise, mean }: { readonly noise: number; readonly mean: number },
): boolean {
  if (level.runs < (outlier ? MIN_RUNS : OUTLIER_MIN_RUNS)) return false;
  const difference = Math.abs(level.value - mean);
  const deviations = difference * Math.sqrt(level.runs / noise);
  return outlier
    ? difference > INLIER_BELOW && deviations > INLIER_MAX_DEVIATIONS
    : difference > OUTLIER_ABOVE && deviations > OUTLIER_MIN_DEVIATIONS;
}

/** Weighted sums of levels. */
class WeightedSums {
  count = 0;
  #weight = 0;
  #weightSquares = 0;
  #sum = 0;
  #squareSum = 0;

  add(value: number, weight: number): void {
    this.count++;
    this.#weight += weight;
    this.#weightSquares += weight ** 2;
    this.#sum += weight * value;
    this.#squareSum += weight * value ** 2;
  }

  get mean(): number {
    return this.#weight === 0 ? 0 : this.#sum / this.#weight;
  }

  /** Weighted sum of the squared differences from the mean (Cochran's Q). */
  get squares(): number {
    return Math.max(0, this.#squareSum - this.#weight * this.mean ** 2);
  }

  /**
   * Factor of the variance between workers in the expected value of
   * {@linkcode squares}.
   */
  get spreadWeight(): number {
    return this.#weight - this.#weightSquares / this.#weight;
  }
}
