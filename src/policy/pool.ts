/**
 * The workers that this instance owns, with what is taken and free on each.
 *
 * @module
 */
import { add, fits, subtract, zeroResources } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import type { Strategy } from "./fit.ts";
import { RoomIndex, scoreOf } from "./room_index.ts";
import { RackIndex, type Spread } from "./spread.ts";

/** Narrows a placement. */
export interface PlaceOptions {
  /** Workers that must not be used. */
  readonly avoid?: ReadonlySet<string>;
  /** Where replicas of the same workload already are. */
  readonly spread?: Spread;
  /** Defaults to `pack`. */
  readonly strategy?: Strategy;
}

/** What all usable workers offer together. */
export interface Totals {
  readonly capacity: Resources;
  readonly free: Resources;
}

interface Entry {
  readonly id: string;
  worker: Worker;
  capacity: Resources;
  taken: Resources;
  reserved: Resources;
  free: Resources;
  usable: boolean;
}

/** The owned workers. */
export class WorkerPool {
  readonly #entries = new Map<string, Entry>();
  readonly #rooms = new RoomIndex();
  readonly #racks = new RackIndex();
  readonly #shapes = new Map<string, { capacity: Resources; count: number }>();
  #totals: Totals = { capacity: zeroResources, free: zeroResources };

  /** Number of workers, usable or not. */
  get size(): number {
    return this.#entries.size;
  }

  /** Ids of all workers. */
  ids(): IterableIterator<string> {
    return this.#entries.keys();
  }

  /** Adds a worker, usable, or changes its description; what is taken on it stays taken. */
  upsert(worker: Worker): void {
    const known = this.#entries.get(worker.id);
    if (known !== undefined) this.#detach(known);
    const entry = known ?? newEntry(worker);
    entry.worker = worker;
    entry.capacity = worker.capacity;
    this.#entries.set(worker.id, entry);
    this.#attach(entry);
  }

  /** Forgets a worker and what is taken on it. */
  remove(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#detach(entry);
    this.#entries.delete(id);
  }

  /** Says whether new work may be placed on a worker. */
  setUsable(id: string, usable: boolean): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.usable === usable) return;
    this.#detach(entry);
    entry.usable = usable;
    this.#attach(entry);
  }

  /** Whether new work may be placed on a worker. */
  usable(id: string): boolean {
    return this.#entries.get(id)?.usable ?? false;
  }

  /** A worker's description. */
  worker(id: string): Worker | undefined {
    return this.#entries.get(id)?.worker;
  }

  /** The worker on which a need fits best; nothing is taken. */
  place(need: Resources, options: PlaceOptions = {}): string | undefined {
    const search = {
      need,
      avoid: options.avoid,
      strategy: options.strategy ?? "pack",
    };
    if (options.spread === undefined) return this.#rooms.find(search);
    return this.#racks.find(options.spread, (id) => {
      const entry = this.#entries.get(id);
      return entry === undefined ? Infinity : scoreOf(entry, search);
    });
  }

  /** Whether a need fits anywhere now. */
  hasRoom(need: Resources): boolean {
    return this.#rooms.holds(need);
  }

  /**
   * Workers for `count` tasks at once, one id a task, or `undefined` if not
   * all of them fit; nothing is taken.
   */
  placeGang(
    need: Resources,
    options: PlaceOptions & { readonly count: number },
  ): string[] | undefined {
    const chosen: string[] = [];
    while (chosen.length < options.count) {
      const id = this.place(need, options);
      if (id === undefined) break;
      this.take(id, need);
      chosen.push(id);
    }
    for (const id of chosen) this.release(id, need);
    return chosen.length === options.count ? chosen : undefined;
  }

  /** Takes room on a worker; `false` leaves all as it was because the need does not fit. */
  take(id: string, need: Resources): boolean {
    const entry = this.#entries.get(id);
    if (entry === undefined || !fits(need, entry.free)) return false;
    this.#change(entry, () => entry.taken = add(entry.taken, need));
    return true;
  }

  /** Gives back what {@linkcode take} took. */
  release(id: string, need: Resources): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#change(entry, () => entry.taken = subtract(entry.taken, need));
  }

  /** Sets how much of a worker is used by others or beyond what was taken. */
  reserveFor(id: string, extra: Resources): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#change(entry, () => entry.reserved = extra);
  }

  /** What is free on a worker; negative where it is overfull. */
  free(id: string): Resources | undefined {
    return this.#entries.get(id)?.free;
  }

  /** What is taken on a worker by {@linkcode take}. */
  taken(id: string): Resources | undefined {
    return this.#entries.get(id)?.taken;
  }

  /** Capacity and free room of all usable workers. */
  totals(): Totals {
    return this.#totals;
  }

  /** Whether any worker could hold the need if it were empty. */
  couldEverFit(need: Resources): boolean {
    for (const { capacity } of this.#shapes.values()) {
      if (fits(need, capacity)) return true;
    }
    return false;
  }

  #change(entry: Entry, action: () => void): void {
    const before = entry.free;
    action();
    entry.free = freeOf(entry);
    if (!entry.usable) return;
    this.#rooms.put(entry);
    const { capacity, free } = this.#totals;
    const change = subtract(entry.free, before);
    this.#totals = { capacity, free: add(free, change) };
  }

  #attach(entry: Entry): void {
    entry.free = freeOf(entry);
    this.#count(entry.capacity, 1);
    if (!entry.usable) return;
    this.#rooms.put(entry);
    this.#racks.add(entry.worker);
    this.#totals = {
      capacity: add(this.#totals.capacity, entry.capacity),
      free: add(this.#totals.free, entry.free),
    };
  }

  #detach(entry: Entry): void {
    this.#count(entry.capacity, -1);
    if (!entry.usable) return;
    this.#rooms.delete(entry.id);
    this.#racks.delete(entry.worker);
    this.#totals = {
      capacity: subtract(this.#totals.capacity, entry.capacity),
      free: subtract(this.#totals.free, entry.free),
    };
  }

  #count(capacity: Resources, change: number): void {
    const key = Object.values(capacity).join(" ");
    const count = (this.#shapes.get(key)?.count ?? 0) + change;
    if (count > 0) this.#shapes.set(key, { capacity, count });
    else this.#shapes.delete(key);
  }
}

function newEntry(worker: Worker): Entry {
  return {
    id: worker.id,
    worker,
    capacity: worker.capacity,
    taken: zeroResources,
    reserved: zeroResources,
    free: worker.capacity,
    usable: true,
  };
}

function freeOf(entry: Entry): Resources {
  return subtract(subtract(entry.capacity, entry.taken), entry.reserved);
}
