/**
 * Exponential backoff with jitter for retries.
 *
 * @module
 */

/** Bounds of an exponential backoff, milliseconds. */
export interface Backoff {
  /** Upper bound of the first delay; it doubles with every further failure. */
  readonly initialMs: number;
  /** Largest delay. */
  readonly maxMs: number;
}

/**
 * Returns the delay before the next attempt after `attempt` failures (1 or more), milliseconds.
 * It is random between half of the current bound and the whole bound. `random` is uniform in [0, 1).
 */
export function backoffMs(
  backoff: Backoff,
  attempt: number,
  options: { readonly random: () => number },
): number {
  const bound = backoff.initialMs * 2 ** (attempt - 1);
  const half = Math.min(bound, backoff.maxMs) / 2;
  return half + options.random() * half;
}
