/**
 * Random service times from a seeded generator.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Supported distributions. */
export const SHAPES = ["fixed", "uniform", "exponential"] as const;

/** Name of a distribution. */
export type Shape = (typeof SHAPES)[number];

/** Returns a function that draws service times, milliseconds; equal seeds give equal sequences. */
export function createServiceTimeSampler(
  shape: Shape,
  options: { readonly meanMs: number; readonly seed: number },
): () => number {
  const generator = xoroshiro128plus(options.seed);
  return () =>
    options.meanMs * durationFactor(shape, uniformFloat64(generator));
}

function durationFactor(shape: Shape, uniform: number): number {
  switch (shape) {
    case "fixed":
      return 1;
    case "uniform":
      return 2 * uniform;
    case "exponential":
      return -Math.log(1 - uniform);
  }
}
