/**
 * Index of workers by free capacity. It groups workers whose free capacity is similar, so that a
 * search compares groups first and then only a few workers in each.
 *
 * @module
 */
import { fits } from "../resources.ts";
import type { Resources } from "../types.ts";
import { placementScore, type PlacementStrategy } from "./placement_score.ts";

/** A worker as the index stores it. */
export interface IndexedWorker {
  readonly id: string;
  readonly capacity: Resources;
  readonly free: Resources;
}

/** Criteria of a search. */
export interface Search {
  readonly need: Resources;
  readonly strategy: PlacementStrategy;
  readonly avoid: ReadonlySet<string> | undefined;
}

interface WorkerGroup {
  readonly key: number;
  /** Upper bound of the free capacity of every member. */
  readonly bound: Resources;
  readonly members: IndexedWorker[];
}

interface GroupPosition {
  readonly group: WorkerGroup;
  position: number;
}

interface Best {
  worker: IndexedWorker | undefined;
  score: number;
}

/** Number of size classes for each doubling of an amount. */
const CLASSES_PER_OCTAVE = 2;
/** Number of size classes in each dimension; the last one has no upper bound. */
const CLASS_COUNT = 64;
/** Members of a group that a search scores at first. */
const INITIAL_PROBES = 4;
/** Members of a group that a search scores if the first probes find no worker. */
const MAX_PROBES = 256;

/** The index. */
export class CapacityIndex {
  readonly #groups = new Map<number, WorkerGroup>();
  readonly #positions = new Map<string, GroupPosition>();

  /** Adds a worker, or moves it to the group of its present free capacity. */
  put(worker: IndexedWorker): void {
    const key = keyOf(worker.free);
    const location = this.#positions.get(worker.id);
    if (location?.group.key === key) {
      location.group.members[location.position] = worker;
      return;
    }
    this.delete(worker.id);
    const group = this.#group(key);
    this.#positions.set(worker.id, { group, position: group.members.length });
    group.members.push(worker);
  }

  /** Removes a worker. */
  delete(id: string): void {
    const location = this.#positions.get(id);
    if (location === undefined) return;
    const { group, position } = location;
    const last = group.members.pop()!;
    this.#positions.delete(id);
    if (last.id !== id) {
      group.members[position] = last;
      this.#positions.get(last.id)!.position = position;
    }
    if (group.members.length === 0) this.#groups.delete(group.key);
  }

  /** Id of the best-scored worker among those probed; `undefined` if none of them fits. */
  find(search: Search): string | undefined {
    return this.#search(search, INITIAL_PROBES) ??
      this.#search(search, MAX_PROBES);
  }

  /** Whether the need fits on any worker. Looks at up to {@linkcode MAX_PROBES} workers of a group. */
  fitsAny(need: Resources): boolean {
    for (const group of this.#groups.values()) {
      if (fits(need, group.bound) && anyFits(need, group)) return true;
    }
    return false;
  }

  #search(search: Search, probes: number): string | undefined {
    const best: Best = { worker: undefined, score: Infinity };
    for (const group of this.#groups.values()) {
      if (fits(search.need, group.bound)) {
        scoreMembers(group, { search, probes, best });
      }
    }
    return best.worker?.id;
  }

  #group(key: number): WorkerGroup {
    const known = this.#groups.get(key);
    if (known !== undefined) return known;
    const group = { key, bound: boundOf(key), members: [] };
    this.#groups.set(key, group);
    return group;
  }
}

function anyFits(need: Resources, group: WorkerGroup): boolean {
  const end = Math.min(MAX_PROBES, group.members.length);
  for (let i = 0; i < end; i++) {
    if (fits(need, group.members[i]!.free)) return true;
  }
  return false;
}

/** Scores up to `probes` members and keeps the best. */
function scoreMembers(
  group: WorkerGroup,
  options: { readonly search: Search; readonly probes: number; best: Best },
): void {
  const { search, best } = options;
  const end = Math.min(options.probes, group.members.length);
  for (let i = 0; i < end; i++) {
    const worker = group.members[i]!;
    const value = scoreWorker(worker, search);
    if (value >= best.score) continue;
    best.worker = worker;
    best.score = value;
  }
}

/** Score of a worker; infinite if it can't be used. */
export function scoreWorker(
  worker: IndexedWorker,
  search: Search,
): number {
  if (!fits(search.need, worker.free)) return Infinity;
  if (search.avoid?.has(worker.id)) return Infinity;
  return placementScore(search.need, {
    free: worker.free,
    capacity: worker.capacity,
    strategy: search.strategy,
  });
}

function keyOf(free: Resources): number {
  return ((classOf(free.cpuMillis) * CLASS_COUNT + classOf(free.memoryMib)) *
          CLASS_COUNT + classOf(free.accelerators)) * CLASS_COUNT +
    classOf(free.slots);
}

function boundOf(key: number): Resources {
  const slots = key % CLASS_COUNT;
  const accelerators = Math.floor(key / CLASS_COUNT) % CLASS_COUNT;
  const memory = Math.floor(key / CLASS_COUNT ** 2) % CLASS_COUNT;
  const cpu = Math.floor(key / CLASS_COUNT ** 3);
  return {
    cpuMillis: upperBound(cpu),
    memoryMib: upperBound(memory),
    accelerators: upperBound(accelerators),
    slots: upperBound(slots),
  };
}

function classOf(amount: number): number {
  if (amount <= 0) return 0;
  const octaves = Math.log2(Math.max(1, amount));
  return Math.min(
    CLASS_COUNT - 1,
    1 + Math.floor(octaves * CLASSES_PER_OCTAVE),
  );
}

function upperBound(index: number): number {
  if (index === 0) return 0;
  return index === CLASS_COUNT - 1
    ? Infinity
    : 2 ** (index / CLASSES_PER_OCTAVE);
}
