/**
 * Room on workers: what is free, what is kept for others, and an index of it.
 *
 * Load pattern: a fleet that fills up, where hundreds of steps look for room on
 * hundreds of workers many times a second. The workers that take work are
 * sorted once a pass, and each look begins at the first with enough free.
 *
 * @module
 */
import {
  type Fleet,
  type FleetWorker,
  roomOn,
  takesWork,
  tasksIn,
  weighsOn,
} from "../fleet.ts";
import type { StepRun, Task } from "../job.ts";
import { type Amounts, fits, NO_AMOUNTS, plus, type Queue } from "../types.ts";
import { isAverage } from "./worker_choice.ts";

/** Room by worker. */
export type Rooms = ReadonlyMap<string, Amounts>;

/** No room anywhere. */
export const NO_ROOMS: Rooms = new Map();

/** Room that is kept for others. */
export interface Kept {
  /** What is kept on a worker; `undefined` for nothing. */
  on(worker: string): Amounts | undefined;
}

/** Nothing is kept. */
export const NOTHING_KEPT: Kept = { on: () => undefined };

/** A sum of rooms that are kept. */
export class Claims implements Kept {
  readonly #sum = new Map<string, Amounts>();

  on(worker: string): Amounts | undefined {
    return this.#sum.get(worker);
  }

  /** Keeps rooms besides those that are kept already. */
  add(rooms: Rooms): void {
    for (const [worker, amounts] of rooms) {
      const before = this.#sum.get(worker) ?? NO_AMOUNTS;
      this.#sum.set(worker, plus(before, amounts));
    }
  }
}

/** Processors of the workers of one service that take work, thousandths. */
export interface FleetSize {
  readonly cpuMillis: number;
  readonly usedMillis: number;
}

/** Workers of one service, the fullest first. */
interface Shelf {
  readonly workers: readonly FleetWorker[];
  /** Free processors of each of them, thousandths, ascending. */
  readonly freeMillis: readonly number[];
  readonly size: FleetSize;
  /** Whether some of them are slower or faster than others. */
  readonly uneven: boolean;
}

const EMPTY_SHELF: Shelf = {
  workers: [],
  freeMillis: [],
  size: { cpuMillis: 0, usedMillis: 0 },
  uneven: false,
};

/**
 * The workers that take work, by service and free processors at one moment.
 * Work that is placed afterwards only takes room, so that what is left out
 * stays without room; what is found has to be looked at again.
 */
export class RoomIndex {
  readonly #fleet: Fleet;
  readonly #nowMs: number;
  #shelves: ReadonlyMap<string, Shelf> | undefined;

  /** `nowMs`: monotonic milliseconds. The index is made when it is first asked. */
  constructor(fleet: Fleet, nowMs: number) {
    this.#fleet = fleet;
    this.#nowMs = nowMs;
  }

  /** Workers of a service that take work, the fullest first. */
  workers(service: string): readonly FleetWorker[] {
    return this.#shelf(service).workers;
  }

  /** Those with so many free processors, thousandths. */
  withFree(service: string, cpuMillis: number): readonly FleetWorker[] {
    const { workers, freeMillis } = this.#shelf(service);
    return workers.slice(firstAtLeast(freeMillis, cpuMillis));
  }

  /** Whether workers of a service that take work differ in speed. */
  isUneven(service: string): boolean {
    return this.#shelf(service).uneven;
  }

  /** Sizes of all services. */
  sizes(): ReadonlyMap<string, FleetSize> {
    return new Map(
      [...this.#all()].map(([service, { size }]) => [service, size]),
    );
  }

  #shelf(service: string): Shelf {
    return this.#all().get(service) ?? EMPTY_SHELF;
  }

  #all(): ReadonlyMap<string, Shelf> {
    this.#shelves ??= shelvesOf(this.#fleet, this.#nowMs);
    return this.#shelves;
  }
}

/** Room of a worker less what is kept for others. */
export function openRoom(worker: FleetWorker, held: Kept): Amounts {
  const room = roomOn(worker);
  const kept = held.on(worker.id);
  return kept === undefined ? room : plus(room, kept, -1);
}

/** Whether a task of a step fits into the open room of a worker. */
export function hasRoom(
  step: StepRun,
  worker: FleetWorker,
  held: Kept,
): boolean {
  return fits(weighsOn(step), openRoom(worker, held)) &&
    perWorkerLeft(step, worker) >= 1;
}

/** How many tasks of a step workers could take, each at most as its rules allow. */
export function capacityFor(
  step: StepRun,
  workers: readonly FleetWorker[],
  held: Kept,
): number {
  const amounts = weighsOn(step);
  return workers.reduce(
    (sum, worker) =>
      sum +
      Math.min(
        tasksIn(openRoom(worker, held), amounts),
        perWorkerLeft(step, worker),
      ),
    0,
  );
}

/** Whether a worker may run a step by the queue's and the step's rules, with room or without. */
export function isEligible(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: { readonly queue: Queue; readonly nowMs: number },
): boolean {
  const { entry } = worker;
  const label = step.spec.requiredLabel;
  return entry !== undefined && entry.service === queue.service &&
    takesWork(worker, nowMs) &&
    (label === "" || entry.labels.includes(label));
}

/** How many more tasks of a step may be on a worker at the same time. */
export function perWorkerLeft(step: StepRun, worker: FleetWorker): number {
  const most = step.spec.maxPerWorker;
  if (most === 0) return Infinity;
  let there = 0;
  for (const run of worker.runs.values()) if (run.step === step) there++;
  return most - there;
}

/** Tasks of a step that a worker could hold once its other tasks have ended, but those that last. */
export function mostOn(step: StepRun, worker: FleetWorker): number {
  const capacity = worker.entry?.capacity ?? NO_AMOUNTS;
  return Math.min(
    tasksIn(plus(capacity, worker.lasting, -1), weighsOn(step)),
    perWorkerLeft(step, worker),
  );
}

/** The rack is the label that names it; a worker has its kind and its rack as labels. */
export function rackOf(worker: FleetWorker): string {
  return worker.entry?.labels.at(-1) ?? "";
}

/** Workers by rack. */
export function byRack(
  workers: readonly FleetWorker[],
): readonly (readonly FleetWorker[])[] {
  const racks = new Map<string, FleetWorker[]>();
  for (const worker of workers) {
    const there = racks.get(rackOf(worker)) ?? [];
    there.push(worker);
    racks.set(rackOf(worker), there);
  }
  return [...racks.values()];
}

/** Tasks of a step that wait. */
export function waitingTasks({ tasks }: StepRun): readonly Task[] {
  return tasks.filter((task) => task.phase === "waiting");
}

function shelvesOf(fleet: Fleet, nowMs: number): ReadonlyMap<string, Shelf> {
  const byService = new Map<string, FleetWorker[]>();
  for (const worker of fleet.workers.values()) {
    const { entry } = worker;
    if (entry === undefined || !takesWork(worker, nowMs)) continue;
    const there = byService.get(entry.service);
    if (there === undefined) byService.set(entry.service, [worker]);
    else there.push(worker);
  }
  return new Map(
    [...byService].map(([service, workers]) => [service, shelfOf(workers)]),
  );
}

function shelfOf(unsorted: readonly FleetWorker[]): Shelf {
  const free = unsorted
    .map((worker) => ({ worker, millis: roomOn(worker).cpuMillis }))
    .sort((a, b) => a.millis - b.millis);
  const capacity = unsorted.reduce(
    (sum, { entry }) => sum + (entry?.capacity.cpuMillis ?? 0),
    0,
  );
  const left = free.reduce((sum, { millis }) => sum + millis, 0);
  return {
    workers: free.map(({ worker }) => worker),
    freeMillis: free.map(({ millis }) => millis),
    size: { cpuMillis: capacity, usedMillis: capacity - left },
    uneven: !unsorted.every(isAverage),
  };
}

/** Index of the first value that is large enough; the length if there is none. */
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
