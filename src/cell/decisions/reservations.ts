/**
 * Room that gangs wait for.
 *
 * Load pattern: a fleet that is mostly taken, with tens of gangs in line and
 * smaller tasks behind them. A gang starts as a whole or not at all. Without a claim on room it would wait
 * until by chance enough workers have some at once, while smaller tasks take
 * each piece that comes free. So the first gangs in line reserve room on
 * workers, free or not yet, and whoever stands behind them leaves it alone.
 *
 * @module
 */
import { type FleetWorker, roomOn, tasksIn, weighsOn } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import { type Amounts, NO_AMOUNTS, plus } from "../types.ts";
import {
  byRack,
  type FleetSize,
  isEligible,
  type Kept,
  mostOn,
  NO_ROOMS,
  openRoom,
  perWorkerLeft,
  type Rooms,
  waitingTasks,
} from "./room.ts";
import type { SearchContext } from "./suitable_workers.ts";
import { gangWorkers } from "./worker_choice.ts";

/** Part of all processors that may be kept from others until it is free. */
const MOST_SHARE = 0.5;
/** Part of all processors above which room is waited for: below, gangs find some, and whatever has room must start at once by the platform's rules. */
const BUSY_SHARE = 0.55;
/** Gangs of a service that may find too little room in one pass before the others are spared the look. */
const MOST_FAILED = 6;

/** A gang's choice of room stands for so long, milliseconds: what a task takes to end. */
const STANDS_MS = 60;

/** What one gang has reserved. */
interface Reservation {
  /** Place of the gang in the line. */
  readonly place: number;
  readonly rooms: Rooms;
  /** Room that is not free yet, thousandths of processors. */
  readonly waitedMillis: number;
  /** When the room was chosen, monotonic milliseconds. */
  readonly chosenMs: number;
}

/** The reservations of one pass over the line. */
export class Reservations {
  #byStep = new Map<StepRun, Reservation>();
  #before = new Map<StepRun, Reservation>();
  /** Processors of each service that may still be waited for, thousandths. */
  readonly #leftMillis = new Map<string, number>();
  /** Gangs of each service that found too little room in this pass. */
  readonly #failed = new Map<string, number>();

  /** Whether room of a service's workers may still be waited for. */
  isOpen(service: string): boolean {
    return this.#leftOf(service) > 0 &&
      (this.#failed.get(service) ?? 0) < MOST_FAILED;
  }

  /** Begins a pass over the workers of services. */
  begin(sizes: ReadonlyMap<string, FleetSize>): void {
    this.#before = this.#byStep;
    this.#byStep = new Map();
    this.#leftMillis.clear();
    this.#failed.clear();
    for (const [service, { cpuMillis, usedMillis }] of sizes) {
      const busy = usedMillis > BUSY_SHARE * cpuMillis;
      this.#leftMillis.set(service, busy ? MOST_SHARE * cpuMillis : 0);
    }
  }

  /** Lets a choice of a pass just before stand; `false` if there is none or it is old. */
  renew(
    step: StepRun,
    place: number,
    { service, nowMs }: { readonly service: string; readonly nowMs: number },
  ): boolean {
    const before = this.#before.get(step);
    if (before === undefined || nowMs - before.chosenMs > STANDS_MS) {
      return false;
    }
    this.#wait(service, before.waitedMillis);
    this.#byStep.set(step, { ...before, place });
    return true;
  }

  /** Reserves room for a gang on some of these workers, the best first; `false` if there is not enough. */
  reserve(
    step: StepRun,
    workers: readonly FleetWorker[],
    { place, service, held, nowMs }: {
      readonly place: number;
      readonly service: string;
      readonly held: Kept;
      readonly nowMs: number;
    },
  ): boolean {
    const amounts = weighsOn(step);
    const counts = chooseRooms(step, workers, held);
    if (counts.size === 0) return this.#fail(service);
    let waitedMillis = 0;
    for (const [worker, count] of counts) {
      const free = tasksIn(openRoom(worker, held), amounts);
      waitedMillis += Math.max(0, count - free) * amounts.cpuMillis;
    }
    if (waitedMillis > this.#leftOf(service)) return this.#fail(service);
    this.#wait(service, waitedMillis);
    const rooms = new Map<string, Amounts>();
    for (const [{ id }, count] of counts) {
      rooms.set(id, plus(NO_AMOUNTS, amounts, count));
    }
    const reservation = { place, rooms, waitedMillis, chosenMs: nowMs };
    this.#byStep.set(step, reservation);
    return true;
  }

  /** What a gang has reserved in this pass. */
  of(step: StepRun): Rooms {
    return this.#byStep.get(step)?.rooms ?? NO_ROOMS;
  }

  /** Rooms that gangs other than `step` have reserved before a place in the line. */
  before(place: number, step: StepRun): readonly Rooms[] {
    return [...this.#byStep]
      .filter(([holder, reservation]) =>
        holder !== step && reservation.place < place
      )
      .map(([, { rooms }]) => rooms);
  }

  #fail(service: string): false {
    this.#failed.set(service, (this.#failed.get(service) ?? 0) + 1);
    return false;
  }

  #leftOf(service: string): number {
    return this.#leftMillis.get(service) ?? 0;
  }

  #wait(service: string, cpuMillis: number): void {
    this.#leftMillis.set(service, this.#leftOf(service) - cpuMillis);
  }
}

/** Workers on which a gang could reserve room: those that may run it as far as is known, in one rack if it must be. */
export function reservableFor(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  const { fleet, queue } = context;
  const { verdicts } = step.advice;
  const good: FleetWorker[] = [];
  for (const worker of fleet.workers.values()) {
    if (queue.advice !== undefined && verdicts.get(worker.id) !== true) {
      continue;
    }
    if (!isEligible(step, worker, context)) continue;
    if (mostOn(step, worker) > 0) good.push(worker);
  }
  if (!step.spec.sameRack) return good;
  const racks = [...byRack(good)].sort((a, b) => b.length - a.length);
  return racks[0] ?? [];
}

/** Orders workers for a gang's reservation by expected time and leaves out those too slow for it where the others are enough. */
export function preferredRoom(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  if (!context.index.isUneven(context.queue.service)) return workers;
  return gangWorkers(step, workers, {
    ...context,
    needed: waitingTasks(step).length,
    placesOn: (worker) => mostOn(step, worker),
  });
}

/** What is free now, then one task more on each worker, the emptiest first, until the gang has its room. */
function chooseRooms(
  step: StepRun,
  workers: readonly FleetWorker[],
  held: Kept,
): ReadonlyMap<FleetWorker, number> {
  const amounts = weighsOn(step);
  const counts = new Map<FleetWorker, number>();
  let left = waitingTasks(step).length;
  for (const worker of workers) {
    const free = tasksIn(openRoom(worker, held), amounts);
    const count = Math.min(left, free, perWorkerLeft(step, worker));
    if (count <= 0) continue;
    counts.set(worker, count);
    left -= count;
  }
  const freeAfter = (worker: FleetWorker) =>
    roomOn(worker).cpuMillis - (counts.get(worker) ?? 0) * amounts.cpuMillis;
  const emptiest = [...workers].sort((a, b) => freeAfter(b) - freeAfter(a));
  while (left > 0) {
    const open = emptiest.filter((worker) =>
      (counts.get(worker) ?? 0) < mostOn(step, worker)
    );
    if (open.length === 0) return new Map();
    for (const worker of open.slice(0, left)) {
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    left -= Math.min(left, open.length);
  }
  return counts;
}
