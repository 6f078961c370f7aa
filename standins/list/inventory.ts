/**
 * Inventory of workers and instances with its history, from which the list
 * service answers with past versions.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import * as t from "io-ts";

const Presence = t.keyof({ live: 0, leaving: 0 });

/** Entry of a worker in the list. */
export const ListedWorker = t.type({
  id: t.string,
  address: t.string,
  zone: t.string,
  rack: t.string,
  capacity: t.type({
    cpuMillis: t.number,
    memoryMib: t.number,
    accelerators: t.number,
    slots: t.number,
  }),
  connections: t.number,
  state: Presence,
});
/** Entry of a worker in the list. */
export type ListedWorker = t.TypeOf<typeof ListedWorker>;

/** Entry of an instance of the scheduler in the list. */
export const ListedInstance = t.type({
  peerAddress: t.string,
  state: Presence,
});
/** Entry of an instance of the scheduler in the list. */
export type ListedInstance = t.TypeOf<typeof ListedInstance>;

/** Contents of the list. */
export interface Listing {
  readonly workers: readonly ListedWorker[];
  readonly instances: readonly ListedInstance[];
}

/** Changes to the inventory; an added entry replaces the entry with the same id or address. */
export const InventoryChange = t.partial({
  workers: t.array(ListedWorker),
  instances: t.array(ListedInstance),
  /** Ids of workers to remove. */
  removeWorkers: t.array(t.string),
  /** Peer addresses of instances to remove. */
  removeInstances: t.array(t.string),
  /** Ids of workers to mark as leaving. */
  leaveWorkers: t.array(t.string),
  /** Peer addresses of instances to mark as leaving. */
  leaveInstances: t.array(t.string),
});
/** Changes to the inventory. */
export type InventoryChange = t.TypeOf<typeof InventoryChange>;

interface Version {
  readonly since: number;
  readonly listing: Listing;
}

/** Inventory with all its past versions. */
export class Inventory {
  #versions: Version[] = [
    { since: -Infinity, listing: { workers: [], instances: [] } },
  ];

  /** Version that was current `lagMs` milliseconds ago. */
  asOf(lagMs: number): Listing {
    const asOfMs = performance.now() - lagMs;
    const current = this.#versions.findLastIndex(({ since }) =>
      since <= asOfMs
    );
    const version = this.#versions[Math.max(0, current)];
    return version?.listing ?? { workers: [], instances: [] };
  }

  /** Adds a version with the changes applied. */
  change(change: InventoryChange): void {
    const { workers, instances } = this.asOf(0);
    const listing = {
      workers: applyChange(workers, {
        added: change.workers ?? [],
        removed: change.removeWorkers ?? [],
        leaving: change.leaveWorkers ?? [],
        idOf: (worker) => worker.id,
      }),
      instances: applyChange(instances, {
        added: change.instances ?? [],
        removed: change.removeInstances ?? [],
        leaving: change.leaveInstances ?? [],
        idOf: (instance) => instance.peerAddress,
      }),
    };
    this.#versions.push({ since: performance.now(), listing });
  }
}

interface Listed {
  readonly state: "live" | "leaving";
}

function applyChange<T extends Listed>(
  old: readonly T[],
  change: {
    readonly added: readonly T[];
    readonly removed: readonly string[];
    readonly leaving: readonly string[];
    readonly idOf: (listed: T) => string;
  },
): readonly T[] {
  const { idOf } = change;
  const dropped = new Set([...change.removed, ...change.added.map(idOf)]);
  const kept = old.filter((listed) => !dropped.has(idOf(listed)));
  return [...kept, ...change.added].map((listed) =>
    change.leaving.includes(idOf(listed))
      ? { ...listed, state: "leaving" }
      : listed
  );
}
