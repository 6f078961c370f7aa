/**
 * Versioned key-value data with an event history.
 *
 * @module
 */

/** Stored key and value. A key is a byte string: one character per byte. */
export interface KeyValue {
  readonly key: string;
  /** Base64. */
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** Id of the lease that the key is attached to, or {@linkcode NO_LEASE}. */
  readonly lease: string;
}

/** Change of one key. */
export type Event =
  | { readonly type: "put"; readonly kv: KeyValue }
  | {
    readonly type: "delete";
    readonly key: string;
    readonly modRevision: number;
  };

/** Put of a key, or delete of a key or range. */
export type Mutation =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    readonly lease: string;
  }
  | { readonly type: "delete"; readonly key: string; readonly end: string };

/** Lease id of a key without a lease. */
export const NO_LEASE = "0";

/** Range end that selects every key from the start key on. */
const OPEN_END = "\0";
const MAX_EVENTS = 20_000;

/** Revision of an event. */
export function revisionOf(event: Event): number {
  switch (event.type) {
    case "put":
      return event.kv.modRevision;
    case "delete":
      return event.modRevision;
  }
}

/** Key that an event changed. */
export function keyOf(event: Event): string {
  switch (event.type) {
    case "put":
      return event.kv.key;
    case "delete":
      return event.key;
  }
}

/** Whether a key is in the range [start, end); an empty end selects the start key alone. */
export function inRange(key: string, start: string, end: string): boolean {
  if (end === "") return key === start;
  return key >= start && (end === OPEN_END || key < end);
}

/** Key-value data and recent events. */
export class State {
  #revision = 1;
  #compacted = 0;
  #events: Event[] = [];
  readonly #keyValues = new Map<string, KeyValue>();
  readonly #listeners = new Set<(events: readonly Event[]) => void>();

  /** Current revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Events up to and including this revision have been discarded. */
  get compacted(): number {
    return this.#compacted;
  }

  /** Stored value of a key. */
  get(key: string): KeyValue | undefined {
    return this.#keyValues.get(key);
  }

  /** Stored values in the range, in key order. */
  range(start: string, end: string): KeyValue[] {
    if (end === "") return [this.#keyValues.get(start)].filter(isPresent);
    return [...this.#keyValues.values()]
      .filter((kv) => inRange(kv.key, start, end))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Applies all mutations at one new revision and returns the events; without any, the revision stays. */
  apply(mutations: readonly Mutation[]): readonly Event[] {
    const revision = this.#revision + 1;
    const events = mutations.flatMap((mutation) =>
      this.#mutate(mutation, revision)
    );
    if (events.length === 0) return events;
    this.#revision = revision;
    this.#appendEvents(events);
    for (const listener of this.#listeners) listener(events);
    return events;
  }

  /** Events of this and later revisions. */
  eventsSince(revision: number): readonly Event[] {
    return this.#events.filter((event) => revisionOf(event) >= revision);
  }

  /** Calls the listener with the events of each new revision; returns a function that unsubscribes it. */
  subscribe(listener: (events: readonly Event[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Discards the events up to and including a revision. */
  compact(revision: number): void {
    this.#compacted = Math.max(this.#compacted, revision);
    this.#events = this.eventsSince(this.#compacted + 1).slice();
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
    const old = this.#keyValues.get(put.key);
    const kv = {
      key: put.key,
      value: put.value,
      createRevision: old?.createRevision ?? revision,
      modRevision: revision,
      version: (old?.version ?? 0) + 1,
      lease: put.lease,
    };
    this.#keyValues.set(put.key, kv);
    return { type: "put", kv };
  }

  #delete(key: string, modRevision: number): Event {
    this.#keyValues.delete(key);
    return { type: "delete", key, modRevision };
  }

  #appendEvents(events: readonly Event[]): void {
    this.#events.push(...events);
    if (this.#events.length < 2 * MAX_EVENTS) return;
    const oldest = this.#events[this.#events.length - MAX_EVENTS];
    if (oldest !== undefined) this.compact(revisionOf(oldest));
  }
}

function isPresent<T>(value: T | undefined): value is T {
  return value !== undefined;
}
