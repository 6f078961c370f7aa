/**
 * The level of a noisy series that may change at any time.
 *
 * Load pattern: a worker whose tasks vary by half and sometimes last seven
 * times as long, and which may turn slow within a second. The mean of many runs
 * gives the level; a two-sided cumulative sum finds a change within a few runs
 * and starts the mean anew from there.
 *
 * @module
 */

/** One run counts as at most this many standard deviations. */
const BOUND = 2;
/** Smallest part of a whole run's difference that the level takes: it then stands for 59 runs. */
const LEAST_GAIN = 1 / 30;
/** Drift that a sum allows for, standard deviations: half of the shift of a worker that takes 1.6 times as long. */
const DRIFT = 0.5;
/** Sum at which the level has changed, standard deviations: by the tables of such sums after 12 runs for a shift by one, and once in 1,300 without one. */
const CHANGED = 6;
/** Runs below which a level is not asked whether it has changed. */
const FIRST_RUNS = 4;
/** Without runs, a level's confidence halves in this time, milliseconds. */
const FADE_MS = 120_000;

/** How a series is read. */
export interface Reading {
  /** Standard deviation of one value around its level. */
  readonly noise: number;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Runs for which the value counts, 0 to 1: less than one if others told part of it. */
  readonly weight: number;
}

/** One side of the cumulative sum. */
interface Side {
  readonly sign: 1 | -1;
  sum: number;
  runs: number;
  values: number;
}

/** A level that is followed. */
export class LevelTrack {
  #level = 0;
  /** Variance of the level in variances of one value: 1 over its runs; infinite before the first. */
  #variance = Infinity;
  #atMs: number;
  readonly #sides: readonly Side[] = [
    { sign: 1, sum: 0, runs: 0, values: 0 },
    { sign: -1, sum: 0, runs: 0, values: 0 },
  ];

  constructor(nowMs: number) {
    this.#atMs = nowMs;
  }

  /** Largest difference from the level that counts. */
  static boundOf(noise: number): number {
    return BOUND * noise;
  }

  /** The level. */
  get level(): number {
    return this.#level;
  }

  /** Independent runs that the level stands for. */
  get runs(): number {
    return 1 / this.#variance;
  }

  /** Time of the last value, monotonic milliseconds. */
  get atMs(): number {
    return this.#atMs;
  }

  /** Takes a value; gives its bounded difference from the level before. */
  learn(value: number, { noise, nowMs, weight }: Reading): number {
    this.#fade(nowMs);
    const bound = LevelTrack.boundOf(noise);
    const surprise = Math.min(bound, Math.max(-bound, value - this.#level));
    const seen = this.#level + surprise;
    const mayChange = this.runs >= FIRST_RUNS;
    const gain = this.#variance === Infinity ? 1 : Math.max(
      LEAST_GAIN * weight,
      this.#variance / (1 / weight + this.#variance),
    );
    this.#level += gain * surprise;
    this.#variance = gain === 1
      ? 1 / weight
      : (1 - gain) ** 2 * this.#variance + gain ** 2 / weight;
    if (mayChange) this.#watch(seen, { deviations: surprise / noise, weight });
    return surprise;
  }

  /** Keeps a part of the confidence. */
  doubt(part: number): void {
    this.#variance /= part;
  }

  /** Takes a level that was known `ageMs` before the track's time. */
  restore(level: number, runs: number, ageMs: number): void {
    this.#level = level;
    this.#variance = runs > 0 ? 2 ** (ageMs / FADE_MS) / runs : Infinity;
  }

  #fade(nowMs: number): void {
    const idleMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    if (this.#variance !== Infinity) this.#variance *= 2 ** (idleMs / FADE_MS);
  }

  #watch(
    seen: number,
    { deviations, weight }: {
      readonly deviations: number;
      readonly weight: number;
    },
  ): void {
    for (const side of this.#sides) {
      side.sum = Math.max(
        0,
        side.sum + weight * (side.sign * deviations - DRIFT),
      );
      if (side.sum === 0) {
        side.runs = 0;
        side.values = 0;
        continue;
      }
      side.runs += weight;
      side.values += weight * seen;
      if (side.sum < CHANGED) continue;
      this.#level = side.values / side.runs;
      this.#variance = 1 / side.runs;
      for (const other of this.#sides) {
        other.sum = 0;
        other.runs = 0;
        other.values = 0;
      }
      return;
    }
  }
}
