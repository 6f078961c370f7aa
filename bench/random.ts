/**
 * Seeded random numbers.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A pseudo-random number generator; the same seed gives the same numbers. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.uniform();
  }

  /** Uniform integer in [0, end). */
  integerBelow(end: number): number {
    return Math.floor(this.uniform() * end);
  }

  /** Exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Element of a list that is not empty, each with the same probability. */
  pick<T>(items: readonly T[]): T {
    return items[this.integerBelow(items.length)]!;
  }

  /** Index of a list, with a probability proportional to its weight. */
  weightedIndex(weights: readonly number[]): number {
    const sum = weights.reduce((a, b) => a + b, 0);
    let left = this.uniform() * sum;
    for (let i = 0; i < weights.length; i++) {
      left -= weights[i]!;
      if (left < 0) return i;
    }
    return weights.length - 1;
  }
}
