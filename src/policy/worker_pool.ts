/**
 * The workers that this instance owns, with the allocated and free capacity of each.
 *
 * @module
 */
import { add, fits, subtract, zeroResources } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import type { PlacementStrategy } from "./placement_score.ts";
import { CapacityIndex, scoreWorker } from "./capacity_index.ts";
import { RackIndex, type ReplicaCounts } from "./spread.ts";

/** Constraints of a placement. */
export interface PlacementOptions {
  /** Ids of workers that must not be used. */
  readonly avoid?: ReadonlySet<string>;
  /** Number of replicas of the same workload by zone and rack; prefers where there are fewest. */
  readonly spread?: ReplicaCounts;
  /** Defaults to `pack`. */
  readonly strategy?: PlacementStrategy;
}

/** Total capacity of all usable workers. */
export interface Totals {
  readonly capacity: Resources;
  readonly free: Resources;
}

interface PooledWorker {
  readonly id: string;
  worker: Worker;
  capacity: Resources;
  allocated: Resources;
  reserved: Resources;
  free: Resources;
  usable: boolean;
}

/** The owned workers. */
export class WorkerPool {
  readonly #entries = new Map<string, PooledWorker>();
  readonly #capacityIndex = new CapacityIndex();
  readonly #rackIndex = new RackIndex();
  readonly #capacities = new Map<
    string,
    { capacity: Resources; count: number }
  >();
  #totals: Totals = { capacity: zeroResources, free: zeroResources };

  /** Number of workers, usable or not. */
  get size(): number {
    return this.#entries.size;
  }

  /** Ids of all workers. */
  ids(): IterableIterator<string> {
    return this.#entries.keys();
  }

  /** Adds a worker as usable, or updates the description of a known one, which keeps its allocations. */
  upsert(worker: Worker): void {
    const known = this.#entries.get(worker.id);
    if (known !== undefined) this.#removeFromIndexes(known);
    const entry = known ?? newEntry(worker);
    entry.worker = worker;
    entry.capacity = worker.capacity;
    this.#entries.set(worker.id, entry);
    this.#addToIndexes(entry);
  }

  /** Removes a worker and its allocations. */
  remove(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#removeFromIndexes(entry);
    this.#entries.delete(id);
  }

  /** Sets whether new work may be placed on a worker. */
  setUsable(id: string, usable: boolean): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.usable === usable) return;
    this.#removeFromIndexes(entry);
    entry.usable = usable;
    this.#addToIndexes(entry);
  }

  /** Whether new work may be placed on a worker. */
  isUsable(id: string): boolean {
    return this.#entries.get(id)?.usable ?? false;
  }

  /** A worker's description. */
  worker(id: string): Worker | undefined {
    return this.#entries.get(id)?.worker;
  }

  /** Id of the worker where the need fits best, or `undefined`; allocates nothing. */
  findWorker(
    need: Resources,
    options: PlacementOptions = {},
  ): string | undefined {
    const search = {
      need,
      avoid: options.avoid,
      strategy: options.strategy ?? "pack",
    };
    if (options.spread === undefined) return this.#capacityIndex.find(search);
    return this.#rackIndex.find(options.spread, (id) => {
      const entry = this.#entries.get(id);
      return entry === undefined ? Infinity : scoreWorker(entry, search);
    });
  }

  /** Whether the need fits on any usable worker now. */
  fitsAny(need: Resources): boolean {
    return this.#capacityIndex.fitsAny(need);
  }

  /**
   * Finds workers for `count` tasks at once. Returns one id for each task, or `undefined` if not
   * all of them fit. Allocates nothing.
   */
  findGangWorkers(
    need: Resources,
    options: PlacementOptions & { readonly count: number },
  ): string[] | undefined {
    const chosen: string[] = [];
    while (chosen.length < options.count) {
      const id = this.findWorker(need, options);
      if (id === undefined) break;
      this.allocate(id, need);
      chosen.push(id);
    }
    for (const id of chosen) this.release(id, need);
    return chosen.length === options.count ? chosen : undefined;
  }

  /** Allocates capacity on a worker; returns `false` and changes nothing if the need doesn't fit. */
  allocate(id: string, need: Resources): boolean {
    const entry = this.#entries.get(id);
    if (entry === undefined || !fits(need, entry.free)) return false;
    this.#update(entry, () => entry.allocated = add(entry.allocated, need));
    return true;
  }

  /** Releases capacity that {@linkcode WorkerPool.allocate} allocated. */
  release(id: string, need: Resources): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#update(
      entry,
      () => entry.allocated = subtract(entry.allocated, need),
    );
  }

  /** Sets the capacity of a worker that is used by others or in excess of the allocations. */
  setReserved(id: string, extra: Resources): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#update(entry, () => entry.reserved = extra);
  }

  /** Free capacity of a worker; negative if it is overcommitted. */
  free(id: string): Resources | undefined {
    return this.#entries.get(id)?.free;
  }

  /** Capacity of a worker that {@linkcode WorkerPool.allocate} has allocated. */
  allocated(id: string): Resources | undefined {
    return this.#entries.get(id)?.allocated;
  }

  /** Total and free capacity of all usable workers. */
  totals(): Totals {
    return this.#totals;
  }

  /** Whether the need would fit on any worker if that worker were empty. */
  couldEverFit(need: Resources): boolean {
    for (const { capacity } of this.#capacities.values()) {
      if (fits(need, capacity)) return true;
    }
    return false;
  }

  #update(entry: PooledWorker, action: () => void): void {
    const before = entry.free;
    action();
    entry.free = freeOf(entry);
    if (!entry.usable) return;
    this.#capacityIndex.put(entry);
    const { capacity, free } = this.#totals;
    const change = subtract(entry.free, before);
    this.#totals = { capacity, free: add(free, change) };
  }

  #addToIndexes(entry: PooledWorker): void {
    entry.free = freeOf(entry);
    this.#countCapacity(entry.capacity, 1);
    if (!entry.usable) return;
    this.#capacityIndex.put(entry);
    this.#rackIndex.add(entry.worker);
    this.#totals = {
      capacity: add(this.#totals.capacity, entry.capacity),
      free: add(this.#totals.free, entry.free),
    };
  }

  #removeFromIndexes(entry: PooledWorker): void {
    this.#countCapacity(entry.capacity, -1);
    if (!entry.usable) return;
    this.#capacityIndex.delete(entry.id);
    this.#rackIndex.delete(entry.worker);
    this.#totals = {
      capacity: subtract(this.#totals.capacity, entry.capacity),
      free: subtract(this.#totals.free, entry.free),
    };
  }

  #countCapacity(capacity: Resources, change: number): void {
    const key = Object.values(capacity).join(" ");
    const count = (this.#capacities.get(key)?.count ?? 0) + change;
    if (count > 0) this.#capacities.set(key, { capacity, count });
    else this.#capacities.delete(key);
  }
}

function newEntry(worker: Worker): PooledWorker {
  return {
    id: worker.id,
    worker,
    capacity: worker.capacity,
    allocated: zeroResources,
    reserved: zeroResources,
    free: worker.capacity,
    usable: true,
  };
}

function freeOf(entry: PooledWorker): Resources {
  return subtract(subtract(entry.capacity, entry.allocated), entry.reserved);
}
