/**
 * A binary heap whose items can be removed by id.
 *
 * @module
 */

/** Anything with an id that is unique within one heap. */
export interface Identified {
  readonly id: string;
}

interface Entry<T> {
  readonly item: T;
  /** Grows with each push. */
  readonly order: number;
}

/** A binary heap; the item that comes `before` all others is at its head, the first pushed among equals. */
export class Heap<T extends Identified> {
  readonly #entries: Entry<T>[] = [];
  readonly #positions = new Map<string, number>();
  readonly #before: (a: T, b: T) => boolean;
  #order = 0;

  constructor(before: (a: T, b: T) => boolean) {
    this.#before = before;
  }

  /** Number of items. */
  get size(): number {
    return this.#entries.length;
  }

  /** The first item, left in place. */
  head(): T | undefined {
    return this.#entries[0]?.item;
  }

  /** Adds an item; an item with the same id is replaced. */
  push(item: T): void {
    this.remove(item.id);
    this.#put({ item, order: this.#order++ }, this.#entries.length);
    this.#rise(this.#entries.length - 1);
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
    const entry = this.#entries[position]!;
    const last = this.#entries.pop()!;
    this.#positions.delete(id);
    if (last !== entry) {
      this.#put(last, position);
      this.#rise(position);
      this.#sink(this.#positions.get(last.item.id)!);
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
    if (left >= this.#entries.length) return undefined;
    const right = left + 1;
    const rightFirst = right < this.#entries.length &&
      this.#precedes(right, left);
    return rightFirst ? right : left;
  }

  #precedes(a: number, b: number): boolean {
    const first = this.#entries[a]!;
    const second = this.#entries[b]!;
    if (this.#before(first.item, second.item)) return true;
    return first.order < second.order &&
      !this.#before(second.item, first.item);
  }

  #swap(a: number, b: number): void {
    const entry = this.#entries[a]!;
    this.#put(this.#entries[b]!, a);
    this.#put(entry, b);
  }
}
