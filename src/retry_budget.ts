/**
 * Bounds retries to a part of the first tries, so that they cannot multiply
 * the load on a fleet in trouble.
 *
 * @module
 */

/** Retries earned by one first try. */
const RETRIES_PER_TRY = 0.1;
/** Most retries that can be saved up. */
const MAX_SAVED = 50;

/** Retries that may still be made. */
export class RetryTokens {
  #saved = MAX_SAVED;

  /** Notes a first try. */
  deposit(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + RETRIES_PER_TRY);
  }

  /** Takes one retry; `false` if the budget is spent. */
  withdraw(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
