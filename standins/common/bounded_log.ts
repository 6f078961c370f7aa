/**
 * In-memory log of bounded size that drops its oldest entries.
 *
 * @module
 */

/**
 * Keeps at least the `limit` newest entries. Entries are dropped in batches, so
 * that up to `2 * limit - 1` are in memory.
 */
export class BoundedLog<T> {
  readonly #limit: number;
  #entries: T[] = [];
  #dropped = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of entries dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Entries in memory, oldest first. */
  get entries(): readonly T[] {
    return this.#entries;
  }

  /** Appends an entry. */
  add(entry: T): void {
    this.#entries.push(entry);
    if (this.#entries.length >= 2 * this.#limit) this.#dropOldest();
  }

  #dropOldest(): void {
    const excess = this.#entries.length - this.#limit;
    this.#entries = this.#entries.slice(excess);
    this.#dropped += excess;
  }
}
