/**
 * Queues and teams of a set by name. Sets never change, so each is indexed
 * once; a pass looks names up thousands of times a second.
 *
 * @module
 */
import type { ClusterSet, Queue, Team } from "./types.ts";

interface SetIndex {
  readonly queues: ReadonlyMap<string, Queue>;
  readonly teams: ReadonlyMap<string, Team>;
}

const INDEXES = new WeakMap<ClusterSet, SetIndex>();

/** The queue of a name; `undefined` if the set has none. */
export function queueNamed(set: ClusterSet, name: string): Queue | undefined {
  return indexOf(set).queues.get(name);
}

/** The team of a name; `undefined` if the set has none. */
export function teamNamed(set: ClusterSet, name: string): Team | undefined {
  return indexOf(set).teams.get(name);
}

function indexOf(set: ClusterSet): SetIndex {
  const known = INDEXES.get(set);
  if (known !== undefined) return known;
  const index = { queues: byName(set.queues), teams: byName(set.teams) };
  INDEXES.set(set, index);
  return index;
}

function byName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}
