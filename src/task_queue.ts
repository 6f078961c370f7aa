/**
 * Runs asynchronous tasks one after another.
 *
 * @module
 */

/** A queue whose tasks do not overlap; a task that throws does not stop it. */
export class TaskQueue {
  readonly #onError: (error: unknown) => void;
  #last: Promise<void> = Promise.resolve();
  #closed = false;

  constructor(onError: (error: unknown) => void) {
    this.#onError = onError;
  }

  /** Runs a task after those before it; resolves when it has ended. */
  run(task: () => Promise<unknown>): Promise<void> {
    this.#last = this.#last
      .then(() => this.#closed ? undefined : task())
      .then(() => {}, (error) => this.#onError(error));
    return this.#last;
  }

  /** Drops the tasks that have not begun. */
  close(): void {
    this.#closed = true;
  }
}
