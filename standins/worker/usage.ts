/**
 * What is taken of a worker, and the most that ever was.
 *
 * @module
 */
import * as t from "io-ts";
import { BoundedLog } from "../common/bounded_log.ts";

/** Amounts of what a worker offers or a task takes. */
export const Resources = t.type({
  cpuMillis: t.number,
  memoryMib: t.number,
  accelerators: t.number,
  slots: t.number,
});
/** Amounts of what a worker offers or a task takes. */
export type Resources = t.TypeOf<typeof Resources>;

/** A moment at which more was taken than the worker holds. */
export interface Overfill {
  /** ISO 8601. */
  readonly at: string;
  readonly used: Amounts;
}

/** Resources and connections. */
export interface Amounts extends Resources {
  readonly connections: number;
}

const MAX_OVERFILLS = 1000;
const NOTHING: Amounts = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/** Running sums with their high-water marks. */
export class Usage {
  readonly #capacity: Amounts;
  readonly #overfills = new BoundedLog<Overfill>(MAX_OVERFILLS);
  #used = NOTHING;
  #high = NOTHING;
  #overfillCount = 0;

  constructor(capacity: Amounts) {
    this.#capacity = capacity;
  }

  /** Counts what a task or request takes from now on. */
  take(resources: Partial<Amounts>): void {
    this.#used = combine(this.#used, resources, (a, b) => a + b);
    this.#high = combine(this.#high, this.#used, Math.max);
    if (!exceeds(this.#used, this.#capacity)) return;
    this.#overfillCount += 1;
    this.#overfills.add({ at: new Date().toISOString(), used: this.#used });
  }

  /** Counts what has become free. */
  release(resources: Partial<Amounts>): void {
    this.#used = combine(this.#used, resources, (a, b) => a - b);
  }

  /** Everything as a JSON object. */
  report(): unknown {
    return {
      capacity: this.#capacity,
      used: this.#used,
      high: this.#high,
      overfillCount: this.#overfillCount,
      overfills: this.#overfills.entries,
    };
  }
}

function combine(
  left: Amounts,
  right: Partial<Amounts>,
  merge: (a: number, b: number) => number,
): Amounts {
  return {
    cpuMillis: merge(left.cpuMillis, right.cpuMillis ?? 0),
    memoryMib: merge(left.memoryMib, right.memoryMib ?? 0),
    accelerators: merge(left.accelerators, right.accelerators ?? 0),
    slots: merge(left.slots, right.slots ?? 0),
    connections: merge(left.connections, right.connections ?? 0),
  };
}

function exceeds(used: Amounts, capacity: Amounts): boolean {
  return used.cpuMillis > capacity.cpuMillis ||
    used.memoryMib > capacity.memoryMib ||
    used.accelerators > capacity.accelerators ||
    used.slots > capacity.slots ||
    used.connections > capacity.connections;
}
