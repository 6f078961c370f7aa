/**
 * Capacity of workers: what is free, what is reserved, and an index by free
 * processors.
 *
 * Load pattern: a fleet that fills up, where hundreds of steps search hundreds
 * of workers for free capacity many times a second. The schedulable workers are
 * sorted once per scheduling pass, and each search begins at the first worker
 * with enough free processors.
 *
 * @module
 */
import {
  acceptsRuns,
  chargedAmounts,
  type Fleet,
  type FleetWorker,
  freeCapacityOf,
  tasksThatFit,
} from "../fleet.ts";
import type { StepRun, Task } from "../job.ts";
import { type Amounts, fits, NO_AMOUNTS, plus, type Queue } from "../types.ts";
import { isAverage } from "./worker_ranking.ts";

/** Amounts by worker id. */
export type CapacityByWorker = ReadonlyMap<string, Amounts>;

/** No capacity on any worker. */
export const NO_CAPACITY: CapacityByWorker = new Map();

/** Capacity that is reserved for other steps. */
export interface ReservedCapacity {
  /** Amounts reserved on a worker; `undefined` if there are none. */
  on(worker: string): Amounts | undefined;
}

/** Nothing is reserved on any worker. */
export const NOTHING_RESERVED: ReservedCapacity = { on: () => undefined };

/** Sum of several reservations. */
export class ReservedTotals implements ReservedCapacity {
  readonly #totals = new Map<string, Amounts>();

  on(worker: string): Amounts | undefined {
    return this.#totals.get(worker);
  }

  /** Adds a reservation to the sum. */
  add(byWorker: CapacityByWorker): void {
    for (const [worker, amounts] of byWorker) {
      const previous = this.#totals.get(worker) ?? NO_AMOUNTS;
      this.#totals.set(worker, plus(previous, amounts));
    }
  }
}

/** Processors of the schedulable workers of one service, thousandths. */
export interface ServiceTotals {
  readonly cpuMillis: number;
  readonly usedMillis: number;
}

/** Schedulable workers of one service, the fullest first. */
interface ServiceWorkers {
  readonly workers: readonly FleetWorker[];
  /** Free processors of each worker, thousandths, ascending. */
  readonly freeMillis: readonly number[];
  readonly total: ServiceTotals;
  /** Whether the workers differ in speed. */
  readonly hasUnevenSpeeds: boolean;
}

const NO_WORKERS: ServiceWorkers = {
  workers: [],
  freeMillis: [],
  total: { cpuMillis: 0, usedMillis: 0 },
  hasUnevenSpeeds: false,
};

/**
 * Snapshot of the schedulable workers, by service and free processors.
 *
 * Placements after the snapshot only reduce the free capacity. So a worker that
 * a search leaves out still lacks capacity, but the capacity of a worker that
 * it returns has to be checked again.
 */
export class CapacityIndex {
  readonly #fleet: Fleet;
  readonly #nowMs: number;
  #services: ReadonlyMap<string, ServiceWorkers> | undefined;

  /**
   * `nowMs`: monotonic milliseconds. The snapshot is taken on the first access.
   */
  constructor(fleet: Fleet, nowMs: number) {
    this.#fleet = fleet;
    this.#nowMs = nowMs;
  }

  /** Schedulable workers of a service, the fullest first. */
  workers(service: string): readonly FleetWorker[] {
    return this.#service(service).workers;
  }

  /**
   * Schedulable workers of a service with at least this many free processors,
   * thousandths; the fullest first.
   */
  withFreeCpu(service: string, cpuMillis: number): readonly FleetWorker[] {
    const { workers, freeMillis } = this.#service(service);
    return workers.slice(firstAtLeast(freeMillis, cpuMillis));
  }

  /** Whether schedulable workers of a service differ in speed. */
  hasUnevenSpeeds(service: string): boolean {
    return this.#service(service).hasUnevenSpeeds;
  }

  /** Totals of all services. */
  totals(): ReadonlyMap<string, ServiceTotals> {
    return new Map(
      [...this.#allServices()].map(([service, { total }]) => [service, total]),
    );
  }

  #service(service: string): ServiceWorkers {
    return this.#allServices().get(service) ?? NO_WORKERS;
  }

  #allServices(): ReadonlyMap<string, ServiceWorkers> {
    this.#services ??= snapshotByService(this.#fleet, this.#nowMs);
    return this.#services;
  }
}

/** Free capacity of a worker without what is reserved for others. */
export function availableCapacity(
  worker: FleetWorker,
  reserved: ReservedCapacity,
): Amounts {
  const free = freeCapacityOf(worker);
  const reservedHere = reserved.on(worker.id);
  return reservedHere === undefined ? free : plus(free, reservedHere, -1);
}

/** Whether a task of a step fits into the available capacity of a worker. */
export function hasCapacity(
  step: StepRun,
  worker: FleetWorker,
  reserved: ReservedCapacity,
): boolean {
  return fits(chargedAmounts(step), availableCapacity(worker, reserved)) &&
    remainingPerWorker(step, worker) >= 1;
}

/**
 * How many tasks of a step fit on these workers together, within the step's
 * limit per worker.
 */
export function taskCapacity(
  step: StepRun,
  workers: readonly FleetWorker[],
  reserved: ReservedCapacity,
): number {
  const amounts = chargedAmounts(step);
  return workers.reduce(
    (sum, worker) =>
      sum +
      Math.min(
        tasksThatFit(availableCapacity(worker, reserved), amounts),
        remainingPerWorker(step, worker),
      ),
    0,
  );
}

/**
 * Whether a worker may run a step by the rules of the queue and the step,
 * regardless of its free capacity.
 */
export function isEligible(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: { readonly queue: Queue; readonly nowMs: number },
): boolean {
  const { entry } = worker;
  const label = step.spec.requiredLabel;
  return entry !== undefined && entry.service === queue.service &&
    acceptsRuns(worker, nowMs) &&
    (label === "" || entry.labels.includes(label));
}

/** How many more tasks of a step may run on a worker at the same time. */
export function remainingPerWorker(step: StepRun, worker: FleetWorker): number {
  const max = step.spec.maxPerWorker;
  if (max === 0) return Infinity;
  let running = 0;
  for (const run of worker.runs.values()) if (run.step === step) running++;
  return max - running;
}

/**
 * How many tasks of a step fit on a worker once all other tasks there have
 * ended, except long-running ones.
 */
export function maxTasksOn(step: StepRun, worker: FleetWorker): number {
  const capacity = worker.entry?.capacity ?? NO_AMOUNTS;
  return Math.min(
    tasksThatFit(
      plus(capacity, worker.usedByLongRunning, -1),
      chargedAmounts(step),
    ),
    remainingPerWorker(step, worker),
  );
}

/**
 * Rack of a worker: its last label. The labels of a worker are its kind and its
 * rack.
 */
export function rackOf(worker: FleetWorker): string {
  return worker.entry?.labels.at(-1) ?? "";
}

/** Groups workers by rack. */
export function groupByRack(
  workers: readonly FleetWorker[],
): readonly (readonly FleetWorker[])[] {
  const racks = new Map<string, FleetWorker[]>();
  for (const worker of workers) {
    const members = racks.get(rackOf(worker)) ?? [];
    members.push(worker);
    racks.set(rackOf(worker), members);
  }
  return [...racks.values()];
}

/** Tasks of a step that wait to be placed. */
export function waitingTasks({ tasks }: StepRun): readonly Task[] {
  return tasks.filter((task) => task.phase === "waiting");
}

function snapshotByService(
  fleet: Fleet,
  nowMs: number,
): ReadonlyMap<string, ServiceWorkers> {
  const byService = new Map<string, FleetWorker[]>();
  for (const worker of fleet.workers.values()) {
    const { entry } = worker;
    if (entry === undefined || !acceptsRuns(worker, nowMs)) continue;
    const members = byService.get(entry.service);
    if (members === undefined) byService.set(entry.service, [worker]);
    else members.push(worker);
  }
  return new Map(
    [...byService].map(([service, workers]) => [service, snapshotOf(workers)]),
  );
}

function snapshotOf(unsorted: readonly FleetWorker[]): ServiceWorkers {
  const free = unsorted
    .map((worker) => ({ worker, millis: freeCapacityOf(worker).cpuMillis }))
    .sort((a, b) => a.millis - b.millis);
  const capacity = unsorted.reduce(
    (sum, { entry }) => sum + (entry?.capacity.cpuMillis ?? 0),
    0,
  );
  const freeMillis = free.reduce((sum, { millis }) => sum + millis, 0);
  return {
    workers: free.map(({ worker }) => worker),
    freeMillis: free.map(({ millis }) => millis),
    total: { cpuMillis: capacity, usedMillis: capacity - freeMillis },
    hasUnevenSpeeds: !unsorted.every(isAverage),
  };
}

/**
 * Index of the first value that is at least `value`; the length if there is
 * none.
 */
function firstAtLeast(ascending: readonly number[], value: number): number {
  let low = 0;
  let high = ascending.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (ascending[middle]! < value) low = middle + 1;
    else high = middle;
  }
  return low;
}
