/**
 * The instances as they are, and as they were a while ago.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import * as t from "io-ts";

const Presence = t.keyof({ live: 0, leaving: 0 });

/** A worker as the list gives it. */
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
/** A worker as the list gives it. */
export type ListedWorker = t.TypeOf<typeof ListedWorker>;

/** An instance of the system as the list gives it. */
export const ListedInstance = t.type({
  peerAddress: t.string,
  state: Presence,
});
/** An instance of the system as the list gives it. */
export type ListedInstance = t.TypeOf<typeof ListedInstance>;

/** What the list says. */
export interface Listing {
  readonly workers: readonly ListedWorker[];
  readonly instances: readonly ListedInstance[];
}

/** Changes to the truth: what is given replaces what had the same id or address. */
export const TruthChange = t.partial({
  workers: t.array(ListedWorker),
  instances: t.array(ListedInstance),
  /** Ids of workers that are gone. */
  removeWorkers: t.array(t.string),
  /** Peer addresses of instances that are gone. */
  removeInstances: t.array(t.string),
  /** Ids of workers that are leaving. */
  leaveWorkers: t.array(t.string),
  /** Peer addresses of instances that are leaving. */
  leaveInstances: t.array(t.string),
});
/** Changes to the truth. */
export type TruthChange = t.TypeOf<typeof TruthChange>;

interface Version {
  readonly since: number;
  readonly listing: Listing;
}

/** The truth with its history. */
export class Truth {
  #versions: Version[] = [
    { since: -Infinity, listing: { workers: [], instances: [] } },
  ];

  /** The truth as it was `lagMs` milliseconds ago. */
  asOf(lagMs: number): Listing {
    const then = performance.now() - lagMs;
    const current = this.#versions.findLastIndex(({ since }) => since <= then);
    const version = this.#versions[Math.max(0, current)];
    return version?.listing ?? { workers: [], instances: [] };
  }

  /** Changes the truth from now on. */
  change(change: TruthChange): void {
    const { workers, instances } = this.asOf(0);
    const listing = {
      workers: changed(workers, {
        added: change.workers ?? [],
        removed: change.removeWorkers ?? [],
        leaving: change.leaveWorkers ?? [],
        idOf: (worker) => worker.id,
      }),
      instances: changed(instances, {
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

function changed<T extends Listed>(
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
