/**
 * Random numbers from a seed.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A source of random numbers. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  unit(): number {
    return uniformFloat64(this.#generator);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.unit();
  }

  /** Uniform whole number in [0, end). */
  below(end: number): number {
    return Math.floor(this.unit() * end);
  }

  /** Exponential with a mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.unit());
  }

  /** Uniform member of a list. */
  pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)]!;
  }

  /** Index drawn by weight. */
  weighted(weights: readonly number[]): number {
    const sum = weights.reduce((a, b) => a + b, 0);
    let left = this.unit() * sum;
    for (let i = 0; i < weights.length; i++) {
      left -= weights[i]!;
      if (left < 0) return i;
    }
    return weights.length - 1;
  }
}
