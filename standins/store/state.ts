/**
 * Versioned keys and values with a history of changes.
 *
 * @module
 */

/** A stored value. Keys are byte strings: one character per byte. */
export interface KeyValue {
  readonly key: string;
  /** Base64. */
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** 0 if tied to no lease. */
  readonly lease: string;
}

/** A change of one key. */
export type Event =
  | { readonly type: "put"; readonly kv: KeyValue }
  | {
    readonly type: "delete";
    readonly key: string;
    readonly modRevision: number;
  };

/** One change of a transaction. */
export type Mutation =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    readonly lease: string;
  }
  | { readonly type: "delete"; readonly key: string; readonly end: string };

/** The lease of a key that is tied to none. */
export const NO_LEASE = "0";

/** A range end that stands for every key from the first on. */
const OPEN_END = "\0";
const MAX_EVENTS = 20_000;

/** Revision at which an event took place. */
export function revisionOf(event: Event): number {
  switch (event.type) {
    case "put":
      return event.kv.modRevision;
    case "delete":
      return event.modRevision;
  }
}

/** Key that an event is about. */
export function keyOf(event: Event): string {
  switch (event.type) {
    case "put":
      return event.kv.key;
    case "delete":
      return event.key;
  }
}

/** Whether a key is in the range; an empty end means the one key. */
export function inRange(key: string, start: string, end: string): boolean {
  if (end === "") return key === start;
  return key >= start && (end === OPEN_END || key < end);
}

/** All keys and values. */
export class State {
  #revision = 1;
  #compacted = 0;
  #events: Event[] = [];
  readonly #values = new Map<string, KeyValue>();
  readonly #listeners = new Set<(events: readonly Event[]) => void>();

  /** Revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** Changes up to this revision are forgotten. */
  get compacted(): number {
    return this.#compacted;
  }

  /** One value. */
  get(key: string): KeyValue | undefined {
    return this.#values.get(key);
  }

  /** Values in the range, in key order. */
  range(start: string, end: string): KeyValue[] {
    if (end === "") return [this.#values.get(start)].filter(isPresent);
    return [...this.#values.values()]
      .filter((kv) => inRange(kv.key, start, end))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Applies all mutations at one new revision. */
  apply(mutations: readonly Mutation[]): readonly Event[] {
    const revision = this.#revision + 1;
    const events = mutations.flatMap((mutation) =>
      this.#mutate(mutation, revision)
    );
    if (events.length === 0) return events;
    this.#revision = revision;
    this.#remember(events);
    for (const listener of this.#listeners) listener(events);
    return events;
  }

  /** Events from a revision on. */
  since(revision: number): readonly Event[] {
    return this.#events.filter((event) => revisionOf(event) >= revision);
  }

  /** Calls the listener with the events of each revision; gives a function that stops it. */
  subscribe(listener: (events: readonly Event[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Forgets the events up to a revision. */
  compact(revision: number): void {
    this.#compacted = Math.max(this.#compacted, revision);
    this.#events = this.since(this.#compacted + 1).slice();
  }

  #mutate(mutation: Mutation, revision: number): Event[] {
    switch (mutation.type) {
      case "put":
        return [this.#put(mutation, revision)];
      case "delete":
        return this.range(mutation.key, mutation.end).map((kv) =>
          this.#delete(kv.key, revision)
        );
    }
  }

  #put(
    put: Extract<Mutation, { type: "put" }>,
    revision: number,
  ): Event {
    const old = this.#values.get(put.key);
    const kv = {
      key: put.key,
      value: put.value,
      createRevision: old?.createRevision ?? revision,
      modRevision: revision,
      version: (old?.version ?? 0) + 1,
      lease: put.lease,
    };
    this.#values.set(put.key, kv);
    return { type: "put", kv };
  }

  #delete(key: string, modRevision: number): Event {
    this.#values.delete(key);
    return { type: "delete", key, modRevision };
  }

  #remember(events: readonly Event[]): void {
    this.#events.push(...events);
    if (this.#events.length < 2 * MAX_EVENTS) return;
    const oldest = this.#events[this.#events.length - MAX_EVENTS];
    if (oldest !== undefined) this.compact(revisionOf(oldest));
  }
}

function isPresent<T>(value: T | undefined): value is T {
  return value !== undefined;
}
