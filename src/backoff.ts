/**
 * Delays between attempts.
 *
 * @module
 */

/** Bounds of a growing delay. */
export interface Backoff {
  readonly firstMs: number;
  readonly longestMs: number;
}

/** A jittered delay after `attempt` failures (from 1): half of the bound that doubles each time, and up to as much again. */
export function backoffMs(
  backoff: Backoff,
  attempt: number,
  options: { readonly random: () => number },
): number {
  const bound = backoff.firstMs * 2 ** (attempt - 1);
  const half = Math.min(bound, backoff.longestMs) / 2;
  return half + options.random() * half;
}
