/**
 * Whether the workers of a service differ in speed beyond chance, and by how
 * much.
 *
 * Load pattern: even workers whose measured levels differ by chance alone, next
 * to services with truly slow and fast workers. The variance between workers is
 * the one of DerSimonian and Laird.
 *
 * @module
 */
import type { WorkerSpeed } from "./worker_speeds.ts";

/** Noise of a run before there are any, natural logarithm: run times that vary by half. */
export const FIRST_NOISE = 0.47;
/** Workers with fewer runs are left out of the comparison. */
const LEAST_RUNS = 3;
/** Services with fewer workers are compared worker by worker alone. */
const LEAST_WORKERS = 8;
/** Standard deviations by which the spread must exceed chance: the comparison is made twice a second for days. */
const SURE = 10;
/** Standard deviation between workers from which they differ, natural logarithm: a third of them are off by more. Changes of levels that did not happen add up to 0.1. */
const SPREAD_FROM = 0.13;
/** Standard deviation below which they do no more. */
const SPREAD_TO = 0.08;
/** Smallest difference of a single worker, natural logarithm: a quarter. */
const OUTLIER_FROM = 0.22;
/** Difference below which it is no outlier any more. */
const OUTLIER_TO = 0.1;
/** Standard deviations at which a single worker differs, and below which it does no more. */
const OUTLIER_SURE = 6;
const OUTLIER_DOUBTED = 3;
/** Runs from which a single worker may differ: three long jobs in a row happen on some of hundreds. */
const OUTLIER_RUNS = 6;

/** How the workers of a service differ. */
export interface Assessment {
  readonly uneven: boolean;
  /** Mean level of the workers, natural logarithm. */
  readonly mean: number;
  /** Variance between workers. */
  readonly between: number;
}

/** Compares the workers of a service. */
export function assess(
  speeds: Iterable<WorkerSpeed>,
  { noise, before }: {
    /** Variance of one run around its worker's level. */
    readonly noise: number;
    readonly before: Assessment;
  },
): Assessment {
  const compared = [...speeds].filter(({ track, outlier }) =>
    track.runs > 0 && (before.uneven || !outlier)
  );
  const sure = new Weighted();
  for (const { track } of compared) {
    if (track.runs >= LEAST_RUNS) sure.add(track.level, track.runs / noise);
  }
  const chance = sure.count - 1;
  const isKnown = sure.count >= LEAST_WORKERS;
  const excess = isKnown ? Math.max(0, sure.squares - chance) : 0;
  const between = isKnown ? excess / sure.spreadWeight : 0;
  const all = new Weighted();
  for (const { track: { level, runs } } of compared) {
    all.add(level, 1 / (noise / runs + between));
  }
  const spread = Math.sqrt(between);
  const uneven = before.uneven
    ? spread > SPREAD_TO
    : spread > SPREAD_FROM && excess > SURE * Math.sqrt(2 * chance);
  return { uneven, mean: all.mean, between };
}

/** Whether a worker differs from its service by more than chance. */
export function isOutlier(
  { track, outlier }: WorkerSpeed,
  { noise, mean }: { readonly noise: number; readonly mean: number },
): boolean {
  if (track.runs < (outlier ? LEAST_RUNS : OUTLIER_RUNS)) return false;
  const apart = Math.abs(track.level - mean);
  const deviations = apart * Math.sqrt(track.runs / noise);
  return outlier
    ? apart > OUTLIER_TO && deviations > OUTLIER_DOUBTED
    : apart > OUTLIER_FROM && deviations > OUTLIER_SURE;
}

/** Weighted sums of levels. */
class Weighted {
  count = 0;
  #weight = 0;
  #weightSquares = 0;
  #sum = 0;
  #squareSum = 0;

  add(level: number, weight: number): void {
    this.count++;
    this.#weight += weight;
    this.#weightSquares += weight ** 2;
    this.#sum += weight * level;
    this.#squareSum += weight * level ** 2;
  }

  get mean(): number {
    return this.#weight === 0 ? 0 : this.#sum / this.#weight;
  }

  /** Weighted squares of the differences from the mean. */
  get squares(): number {
    return Math.max(0, this.#squareSum - this.#weight * this.mean ** 2);
  }

  /** Weight of the variance between workers in {@linkcode squares}. */
  get spreadWeight(): number {
    return this.#weight - this.#weightSquares / this.#weight;
  }
}
