/**
 * Limits retries to a fraction of the first attempts, so that retries cannot
 * multiply the load on an overloaded fleet.
 *
 * @module
 */

/** Retries that each first attempt adds to the budget. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1;
/** Largest number of unused retries in the budget. */
const MAX_TOKENS = 50;

/** Token bucket of retries. */
export class RetryTokenBucket {
  #tokens = MAX_TOKENS;

  /** Records a first attempt. */
  deposit(): void {
    this.#tokens = Math.min(
      MAX_TOKENS,
      this.#tokens + RETRIES_PER_FIRST_ATTEMPT,
    );
  }

  /** Takes one retry from the budget; `false` if the budget is exhausted. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
