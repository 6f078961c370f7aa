/**
 * Spreads replicas over availability zones and racks.
 *
 * @module
 */
import type { Worker } from "../types.ts";

/** Number of replicas of a workload in each zone and rack. */
export interface ReplicaCounts {
  readonly zones: ReadonlyMap<string, number>;
  readonly racks: ReadonlyMap<string, number>;
}

/** Index of workers by zone and rack. */
export class RackIndex {
  readonly #zones = new Map<string, Map<string, Set<string>>>();

  /** Adds a worker. */
  add(worker: Worker): void {
    const racks = this.#zones.get(worker.zone) ?? new Map();
    const ids = racks.get(worker.rack) ?? new Set();
    this.#zones.set(worker.zone, racks.set(worker.rack, ids.add(worker.id)));
  }

  /** Removes a worker. */
  delete(worker: Worker): void {
    const racks = this.#zones.get(worker.zone);
    const ids = racks?.get(worker.rack);
    ids?.delete(worker.id);
    if (ids?.size === 0) racks?.delete(worker.rack);
    if (racks?.size === 0) this.#zones.delete(worker.zone);
  }

  /**
   * Id of the worker with the lowest finite score in its rack. Picks the zone with the fewest
   * replicas that has such a worker, and in this zone the rack with the fewest.
   */
  find(
    spread: ReplicaCounts,
    scoreOf: (id: string) => number,
  ): string | undefined {
    for (const [, racks] of sortByReplicas(this.#zones, spread.zones)) {
      for (const [, ids] of sortByReplicas(racks, spread.racks)) {
        const id = lowestScored(ids, scoreOf);
        if (id !== undefined) return id;
      }
    }
    return undefined;
  }
}

function sortByReplicas<T>(
  members: ReadonlyMap<string, T>,
  counts: ReadonlyMap<string, number>,
): [string, T][] {
  return [...members].sort(([a], [b]) =>
    (counts.get(a) ?? 0) - (counts.get(b) ?? 0)
  );
}

function lowestScored(
  ids: Iterable<string>,
  scoreOf: (id: string) => number,
): string | undefined {
  let best: string | undefined;
  let bestScore = Infinity;
  for (const id of ids) {
    const value = scoreOf(id);
    if (value >= bestScore) continue;
    best = id;
    bestScore = value;
  }
  return best;
}
