/**
 * A log that drops its oldest entries.
 *
 * @module
 */

/** Holds at most `limit` entries. */
export class BoundedLog<T> {
  readonly #limit: number;
  #entries: T[] = [];
  #dropped = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Entries dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  /** What is held, oldest first. */
  get entries(): readonly T[] {
    return this.#entries;
  }

  /** Adds an entry. */
  add(entry: T): void {
    this.#entries.push(entry);
    if (this.#entries.length >= 2 * this.#limit) this.#shrink();
  }

  #shrink(): void {
    const excess = this.#entries.length - this.#limit;
    this.#entries = this.#entries.slice(excess);
    this.#dropped += excess;
  }
}
