/**
 * Binary heap with removal by id.
 *
 * @module
 */

/** An item with an id that is unique within its heap. */
export interface Identified {
  readonly id: string;
}

interface Entry<T> {
  readonly item: T;
  /** Insertion order, which breaks ties. */
  readonly sequence: number;
}

/** A binary heap. Its head is the item that no other item precedes; of equal items, the one that was pushed first. */
export class Heap<T extends Identified> {
  readonly #entries: Entry<T>[] = [];
  readonly #positions = new Map<string, number>();
  readonly #isBefore: (a: T, b: T) => boolean;
  #nextSequence = 0;

  constructor(isBefore: (a: T, b: T) => boolean) {
    this.#isBefore = isBefore;
  }

  /** Number of items. */
  get size(): number {
    return this.#entries.length;
  }

  /** The first item, which stays in the heap. */
  peek(): T | undefined {
    return this.#entries[0]?.item;
  }

  /** Adds an item and replaces any item with the same id. */
  push(item: T): void {
    this.remove(item.id);
    this.#put({ item, sequence: this.#nextSequence++ }, this.#entries.length);
    this.#siftUp(this.#entries.length - 1);
  }

  /** Removes and returns the first item. */
  pop(): T | undefined {
    const head = this.peek();
    return head && this.remove(head.id);
  }

  /** Removes and returns the item with this id. */
  remove(id: string): T | undefined {
    const position = this.#positions.get(id);
    if (position === undefined) return undefined;
    const entry = this.#entries[position]!;
    const last = this.#entries.pop()!;
    this.#positions.delete(id);
    if (last !== entry) {
      this.#put(last, position);
      this.#siftUp(position);
      this.#siftDown(this.#positions.get(last.item.id)!);
    }
    return entry.item;
  }

  /** All items in no particular order. */
  *[Symbol.iterator](): Generator<T> {
    for (const { item } of this.#entries) yield item;
  }

  #put(entry: Entry<T>, position: number): void {
    this.#entries[position] = entry;
    this.#positions.set(entry.item.id, position);
  }

  #siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!this.#precedes(position, parent)) return;
      this.#swap(position, parent);
      position = parent;
    }
  }

  #siftDown(start: number): void {
    let position = start;
    for (;;) {
      const child = this.#firstChild(position);
      if (child === undefined || !this.#precedes(child, position)) return;
      this.#swap(position, child);
      position = child;
    }
  }

  #firstChild(position: number): number | undefined {
    const left = 2 * position + 1;
    if (left >= this.#entries.length) return undefined;
    const right = left + 1;
    const rightFirst = right < this.#entries.length &&
      this.#precedes(right, left);
    return rightFirst ? right : left;
  }

  #precedes(a: number, b: number): boolean {
    const first = this.#entries[a]!;
    const second = this.#entries[b]!;
    if (this.#isBefore(first.item, second.item)) return true;
    return first.sequence < second.sequence &&
      !this.#isBefore(second.item, first.item);
  }

  #swap(a: number, b: number): void {
    const entry = this.#entries[a]!;
    this.#put(this.#entries[b]!, a);
    this.#put(entry, b);
  }
}
