/**
 * Resource usage of a worker: current, peak, and the moments above capacity.
 *
 * @module
 */
import * as t from "io-ts";
import { BoundedLog } from "../common/bounded_log.ts";

/** Resources of a worker or a task: thousandths of a processor, MiB, counts. */
export const Resources = t.type({
  cpuMillis: t.number,
  memoryMib: t.number,
  accelerators: t.number,
  slots: t.number,
});
/** Resources of a worker or a task: thousandths of a processor, MiB, counts. */
export type Resources = t.TypeOf<typeof Resources>;

/** Time at which usage exceeded the capacity. */
export interface ExceededCapacity {
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
  readonly used: Amounts;
}

/** Resources and number of connections. */
export interface Amounts extends Resources {
  readonly connections: number;
}

const MAX_EXCESS_ENTRIES = 1000;
const ZERO_AMOUNTS: Amounts = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/** Tracks current and peak usage against the capacity. */
export class Usage {
  readonly #capacity: Amounts;
  readonly #excesses = new BoundedLog<ExceededCapacity>(MAX_EXCESS_ENTRIES);
  #used = ZERO_AMOUNTS;
  #peak = ZERO_AMOUNTS;
  #excessCount = 0;

  constructor(capacity: Amounts) {
    this.#capacity = capacity;
  }

  /** Adds to the usage, and records it if it exceeds the capacity. */
  allocate(resources: Partial<Amounts>): void {
    this.#used = combine(this.#used, resources, (a, b) => a + b);
    this.#peak = combine(this.#peak, this.#used, Math.max);
    if (!exceeds(this.#used, this.#capacity)) return;
    this.#excessCount += 1;
    this.#excesses.add({ at: new Date().toISOString(), used: this.#used });
  }

  /** Subtracts from the usage. */
  release(resources: Partial<Amounts>): void {
    this.#used = combine(this.#used, resources, (a, b) => a - b);
  }

  /** Capacity, usage and recorded excesses as a JSON object. */
  report(): unknown {
    return {
      capacity: this.#capacity,
      used: this.#used,
      high: this.#peak,
      overfillCount: this.#excessCount,
      overfills: this.#excesses.entries,
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
