/**
 * Workers grouped by the rough shape of their free room, so that a search
 * looks at shapes first and at few workers of each.
 *
 * @module
 */
import { fits } from "../resources.ts";
import type { Resources } from "../types.ts";
import { score, type Strategy } from "./fit.ts";

/** A worker's room as the index keeps it. */
export interface Room {
  readonly id: string;
  readonly capacity: Resources;
  readonly free: Resources;
}

/** Narrows a search. */
export interface Search {
  readonly need: Resources;
  readonly strategy: Strategy;
  readonly avoid: ReadonlySet<string> | undefined;
}

interface Group {
  readonly key: number;
  /** No member has more free than this. */
  readonly bound: Resources;
  readonly members: Room[];
}

interface Place {
  readonly group: Group;
  position: number;
}

interface Best {
  room: Room | undefined;
  score: number;
}

/** Classes in each doubling of an amount. */
const CLASSES_PER_OCTAVE = 2;
/** Classes in each dimension; the last one is open. */
const CLASSES = 64;
/** Members of a group that a search scores at first. */
const PROBES = 4;
/** Members of a group that a search looks at when the first probes found none. */
const MAX_PROBES = 256;

/** The index. */
export class RoomIndex {
  readonly #groups = new Map<number, Group>();
  readonly #places = new Map<string, Place>();

  /** Adds a room or moves it to its present group. */
  put(room: Room): void {
    const key = keyOf(room.free);
    const place = this.#places.get(room.id);
    if (place?.group.key === key) {
      place.group.members[place.position] = room;
      return;
    }
    this.delete(room.id);
    const group = this.#group(key);
    this.#places.set(room.id, { group, position: group.members.length });
    group.members.push(room);
  }

  /** Removes a room. */
  delete(id: string): void {
    const place = this.#places.get(id);
    if (place === undefined) return;
    const { group, position } = place;
    const last = group.members.pop()!;
    this.#places.delete(id);
    if (last.id !== id) {
      group.members[position] = last;
      this.#places.get(last.id)!.position = position;
    }
    if (group.members.length === 0) this.#groups.delete(group.key);
  }

  /** The best room for a need among those looked at. */
  find(search: Search): string | undefined {
    return this.#search(search, PROBES) ?? this.#search(search, MAX_PROBES);
  }

  /** Whether any room holds a need. */
  holds(need: Resources): boolean {
    for (const group of this.#groups.values()) {
      if (fits(need, group.bound) && anyFits(need, group)) return true;
    }
    return false;
  }

  #search(search: Search, probes: number): string | undefined {
    const best: Best = { room: undefined, score: Infinity };
    for (const group of this.#groups.values()) {
      if (fits(search.need, group.bound)) {
        probe(group, { search, probes, best });
      }
    }
    return best.room?.id;
  }

  #group(key: number): Group {
    const known = this.#groups.get(key);
    if (known !== undefined) return known;
    const group = { key, bound: boundOf(key), members: [] };
    this.#groups.set(key, group);
    return group;
  }
}

function anyFits(need: Resources, group: Group): boolean {
  const end = Math.min(MAX_PROBES, group.members.length);
  for (let i = 0; i < end; i++) {
    if (fits(need, group.members[i]!.free)) return true;
  }
  return false;
}

/** Scores up to `probes` members and keeps the best. */
function probe(
  group: Group,
  options: { readonly search: Search; readonly probes: number; best: Best },
): void {
  const { search, best } = options;
  const end = Math.min(options.probes, group.members.length);
  for (let i = 0; i < end; i++) {
    const room = group.members[i]!;
    const value = scoreOf(room, search);
    if (value >= best.score) continue;
    best.room = room;
    best.score = value;
  }
}

/** Score of a room; infinite if it cannot be used. */
export function scoreOf(room: Room, search: Search): number {
  if (!fits(search.need, room.free)) return Infinity;
  if (search.avoid?.has(room.id)) return Infinity;
  return score(search.need, {
    free: room.free,
    capacity: room.capacity,
    strategy: search.strategy,
  });
}

function keyOf(free: Resources): number {
  return ((classOf(free.cpuMillis) * CLASSES + classOf(free.memoryMib)) *
          CLASSES + classOf(free.accelerators)) * CLASSES + classOf(free.slots);
}

function boundOf(key: number): Resources {
  const slots = key % CLASSES;
  const accelerators = Math.floor(key / CLASSES) % CLASSES;
  const memory = Math.floor(key / CLASSES ** 2) % CLASSES;
  const cpu = Math.floor(key / CLASSES ** 3);
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
  return Math.min(CLASSES - 1, 1 + Math.floor(octaves * CLASSES_PER_OCTAVE));
}

function upperBound(index: number): number {
  if (index === 0) return 0;
  return index === CLASSES - 1 ? Infinity : 2 ** (index / CLASSES_PER_OCTAVE);
}
