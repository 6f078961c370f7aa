/**
 * Sizes of the batches that a segment keeps in the service.
 *
 * @module
 */

/** Batches by number, oldest first. */
export class StoredBatches {
  readonly #sizes = new Map<number, number>();
  #bytes = 0;

  /** Batches kept. */
  get count(): number {
    return this.#sizes.size;
  }

  /** Bytes of all batches. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Adds the newest batch. */
  add(number: number, bytes: number): void {
    this.#sizes.set(number, bytes);
    this.#bytes += bytes;
  }

  /** Forgets the batches older than `first`. */
  removeBefore(first: number): void {
    for (const number of [...this.#sizes.keys()]) {
      if (number >= first) break;
      this.#bytes -= this.#sizes.get(number) ?? 0;
      this.#sizes.delete(number);
    }
  }

  /** Numbers of the oldest batches. */
  oldest(count: number): number[] {
    return [...this.#sizes.keys()].slice(0, count);
  }
}
