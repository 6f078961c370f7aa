/**
 * Sizes of the batches that a segment has in the store.
 *
 * @module
 */

/** Sizes of batches by number, oldest first. */
export class StoredBatches {
  readonly #sizes = new Map<number, number>();
  #bytes = 0;

  /** Number of batches. */
  get count(): number {
    return this.#sizes.size;
  }

  /** Total bytes of the batches. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds a batch, which has to be the newest. */
  add(number: number, bytes: number): void {
    this.#sizes.set(number, bytes);
    this.#bytes += bytes;
  }

  /** Removes the batches older than `first`. */
  removeBefore(first: number): void {
    for (const number of [...this.#sizes.keys()]) {
      if (number >= first) break;
      this.#bytes -= this.#sizes.get(number) ?? 0;
      this.#sizes.delete(number);
    }
  }

  /** Numbers of the `count` oldest batches, oldest first. */
  oldest(count: number): number[] {
    return [...this.#sizes.keys()].slice(0, count);
  }
}
