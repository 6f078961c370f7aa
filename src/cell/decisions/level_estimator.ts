/**
 * Estimates the level (mean) of a noisy series that may shift at any time.
 *
 * Load pattern: a worker whose run times vary by half, sometimes last seven
 * times as long, and which may turn slow within a second. The mean of many runs
 * gives the level. A two-sided cumulative sum (CUSUM) test detects a shift
 * within a few runs and restarts the mean from the runs after the shift.
 *
 * @module
 */

/** Residuals are clipped to this many standard deviations. */
const MAX_RESIDUAL_DEVIATIONS = 2;
/**
 * Lower bound of the filter's gain (the share of a residual by which the level
 * is corrected) for a value of weight 1. With this gain the steady-state
 * estimate is as precise as the mean of 59 runs.
 */
const MIN_FILTER_GAIN = 1 / 30;
/**
 * Drift allowance of the CUSUM test, standard deviations: half of the shift of
 * a worker that takes 1.6 times as long.
 */
const CUSUM_DRIFT = 0.5;
/**
 * CUSUM value from which the level counts as shifted, standard deviations. By
 * the published tables, a shift by one standard deviation is detected after 12
 * runs on average, and a false alarm occurs every 1,300 runs.
 */
const CUSUM_THRESHOLD = 6;
/** Shifts are detected once a level is based on this effective number of runs. */
const MIN_RUNS_FOR_DETECTION = 4;
/** Half-life of the confidence in a level without new values, milliseconds. */
const DECAY_MS = 120_000;

/** Properties of one observed value. */
export interface Observation {
  /** Standard deviation of one value around its level. */
  readonly noise: number;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /**
   * Statistical weight in independent runs, 0 to 1: less than 1 if the value
   * correlates with other values.
   */
  readonly weight: number;
}

/** One side of the two-sided CUSUM test. */
interface CusumSide {
  readonly sign: 1 | -1;
  cusum: number;
  /** Sum of the weights of the runs observed since `cusum` was last zero. */
  runs: number;
  /** Weighted sum of the values of these runs. */
  weightedSum: number;
}

/** A running estimate of a level. */
export class LevelEstimator {
  #level = 0;
  /**
   * Variance of the estimate, in units of the variance of one value: 1 /
   * {@linkcode runs}. Infinite before the first value.
   */
  #variance = Infinity;
  #updatedMs: number;
  readonly #sides: readonly CusumSide[] = [
    { sign: 1, cusum: 0, runs: 0, weightedSum: 0 },
    { sign: -1, cusum: 0, runs: 0, weightedSum: 0 },
  ];

  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /** Largest residual that counts, for a standard deviation `noise`. */
  static maxResidual(noise: number): number {
    return MAX_RESIDUAL_DEVIATIONS * noise;
  }

  /** The estimated level. */
  get value(): number {
    return this.#level;
  }

  /** Effective number of independent runs behind the estimate. */
  get runs(): number {
    return 1 / this.#variance;
  }

  /** Time of the last value, monotonic milliseconds. */
  get updatedMs(): number {
    return this.#updatedMs;
  }

  /**
   * Updates the estimate with a value. Returns the clipped difference of the
   * value from the estimate before it.
   */
  update(value: number, { noise, nowMs, weight }: Observation): number {
    this.#decayConfidence(nowMs);
    const bound = LevelEstimator.maxResidual(noise);
    const residual = Math.min(bound, Math.max(-bound, value - this.#level));
    const clipped = this.#level + residual;
    const settled = this.runs >= MIN_RUNS_FOR_DETECTION;
    const gain = this.#variance === Infinity ? 1 : Math.max(
      MIN_FILTER_GAIN * weight,
      this.#variance / (1 / weight + this.#variance),
    );
    this.#level += gain * residual;
    this.#variance = gain === 1
      ? 1 / weight
      : (1 - gain) ** 2 * this.#variance + gain ** 2 / weight;
    if (settled) this.#detect(clipped, { zScore: residual / noise, weight });
    return residual;
  }

  /** Multiplies the effective number of runs by a factor, 0 to 1. */
  scaleConfidence(factor: number): void {
    this.#variance /= factor;
  }

  /**
   * Restores an estimate that was current `ageMs` before the time of this
   * estimator.
   */
  restore(level: number, runs: number, ageMs: number): void {
    this.#level = level;
    this.#variance = runs > 0 ? 2 ** (ageMs / DECAY_MS) / runs : Infinity;
  }

  #decayConfidence(nowMs: number): void {
    const idleMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    if (this.#variance !== Infinity) this.#variance *= 2 ** (idleMs / DECAY_MS);
  }

  /** Runs the CUSUM test and, after a shift, restarts the estimate. */
  #detect(
    value: number,
    { zScore, weight }: {
      readonly zScore: number;
      readonly weight: number;
    },
  ): void {
    for (const side of this.#sides) {
      side.cusum = Math.max(
        0,
        side.cusum + weight * (side.sign * zScore - CUSUM_DRIFT),
      );
      if (side.cusum === 0) {
        side.runs = 0;
        side.weightedSum = 0;
        continue;
      }
      side.runs += weight;
      side.weightedSum += weight * value;
      if (side.cusum < CUSUM_THRESHOLD) continue;
      this.#level = side.weightedSum / side.runs;
      this.#variance = 1 / side.runs;
      for (const other of this.#sides) {
        other.cusum = 0;
        other.runs = 0;
        other.weightedSum = 0;
      }
      return;
    }
  }
}
