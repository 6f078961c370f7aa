/**
 * Looks up queues and teams of an operator set by name. Sets are immutable, so
 * each is indexed once: scheduling looks names up thousands of times a second.
 *
 * @module
 */
import type { ClusterSet, Queue, Team } from "./types.ts";

interface SetIndex {
  readonly queues: ReadonlyMap<string, Queue>;
  readonly teams: ReadonlyMap<string, Team>;
}

const INDEX_BY_SET = new WeakMap<ClusterSet, SetIndex>();

/** Finds a queue by name; `undefined` if the set has none with that name. */
export function findQueue(set: ClusterSet, name: string): Queue | undefined {
  return indexOf(set).queues.get(name);
}

/** Finds a team by name; `undefined` if the set has none with that name. */
export function findTeam(set: ClusterSet, name: string): Team | undefined {
  return indexOf(set).teams.get(name);
}

function indexOf(set: ClusterSet): SetIndex {
  const known = INDEX_BY_SET.get(set);
  if (known !== undefined) return known;
  const index = { queues: byName(set.queues), teams: byName(set.teams) };
  INDEX_BY_SET.set(set, index);
  return index;
}

function byName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}
