/**
 * A binary heap whose items can be removed by id.
 *
 * @module
 */

/** Anything with an id that is unique within one heap. */
export interface Identified {
  readonly id: string;
}

/** A binary heap; the item that comes `before` all others is at its head. */
export class Heap<T extends Identified> {
  readonly #items: T[] = [];
  readonly #positions = new Map<string, number>();
  readonly #before: (a: T, b: T) => boolean;

  constructor(before: (a: T, b: T) => boolean) {
    this.#before = before;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /** The first item, left in place. */
  head(): T | undefined {
    return this.#items[0];
  }

  /** Adds an item; an item with the same id is replaced. */
  push(item: T): void {
    this.remove(item.id);
    this.#put(item, this.#items.length);
    this.#rise(this.#items.length - 1);
  }

  /** Takes the first item. */
  pop(): T | undefined {
    const head = this.head();
    return head && this.remove(head.id);
  }

  /** Takes the item with this id. */
  remove(id: string): T | undefined {
    const position = this.#positions.get(id);
    if (position === undefined) return undefined;
    const item = this.#items[position]!;
    const last = this.#items.pop()!;
    this.#positions.delete(id);
    if (last !== item) {
      this.#put(last, position);
      this.#rise(position);
      this.#sink(this.#positions.get(last.id)!);
    }
    return item;
  }

  /** All items in no particular order. */
  *[Symbol.iterator](): Generator<T> {
    yield* this.#items;
  }

  #put(item: T, position: number): void {
    this.#items[position] = item;
    this.#positions.set(item.id, position);
  }

  #rise(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!this.#precedes(position, parent)) return;
      this.#swap(position, parent);
      position = parent;
    }
  }

  #sink(start: number): void {
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
    if (left >= this.#items.length) return undefined;
    const right = left + 1;
    const rightFirst = right < this.#items.length &&
      this.#precedes(right, left);
    return rightFirst ? right : left;
  }

  #precedes(a: number, b: number): boolean {
    return this.#before(this.#items[a]!, this.#items[b]!);
  }

  #swap(a: number, b: number): void {
    const item = this.#items[a]!;
    this.#put(this.#items[b]!, a);
    this.#put(item, b);
  }
}
