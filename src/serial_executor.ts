/**
 * Runs asynchronous functions one after another.
 *
 * @module
 */

/** Runs asynchronous functions in the order of submission, never two at once. A failed one does not stop the queue. */
export class SerialExecutor {
  readonly #onError: (error: unknown) => void;
  #last: Promise<void> = Promise.resolve();
  #closed = false;

  constructor(onError: (error: unknown) => void) {
    this.#onError = onError;
  }

  /**
   * Runs a function once all earlier ones have finished. Resolves when it has finished, also if it failed: errors are
   * passed to `onError`.
   */
  run(action: () => Promise<unknown>): Promise<void> {
    this.#last = this.#last
      .then(() => this.#closed ? undefined : action())
      .then(() => {}, (error) => this.#onError(error));
    return this.#last;
  }

  /** Discards the functions that have not started. */
  close(): void {
    this.#closed = true;
  }
}
