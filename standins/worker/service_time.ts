/**
 * Seeded distributions of service times.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Shapes of the distribution. */
export const SHAPES = ["fixed", "uniform", "exponential"] as const;

/** Shape of the distribution. */
export type Shape = (typeof SHAPES)[number];

/** Gives a function that samples service times, the same for the same seed. */
export function serviceTimes(
  shape: Shape,
  options: { readonly meanMs: number; readonly seed: number },
): () => number {
  const generator = xoroshiro128plus(options.seed);
  return () => options.meanMs * factor(shape, uniformFloat64(generator));
}

function factor(shape: Shape, uniform: number): number {
  switch (shape) {
    case "fixed":
      return 1;
    case "uniform":
      return 2 * uniform;
    case "exponential":
      return -Math.log(1 - uniform);
  }
}
