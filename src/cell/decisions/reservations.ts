/**
 * Reservations of worker capacity by gangs.
 *
 * Load pattern: a mostly full fleet with tens of gangs in the backlog and
 * smaller tasks behind them. A gang starts as a whole or not at all. Without
 * reservations it would wait until enough workers happen to have free capacity
 * at once, while smaller tasks take each part that becomes free. So the first
 * gangs of the backlog reserve capacity on workers, free or not yet, and steps
 * behind them don't use it.
 *
 * @module
 */
import {
  chargedAmounts,
  type FleetWorker,
  freeCapacityOf,
  tasksThatFit,
} from "../fleet.ts";
import type { StepRun } from "../job.ts";
import { type Amounts, NO_AMOUNTS, plus } from "../types.ts";
import {
  availableCapacity,
  type CapacityByWorker,
  groupByRack,
  isEligible,
  maxTasksOn,
  NO_CAPACITY,
  remainingPerWorker,
  type ReservedCapacity,
  type ServiceTotals,
  waitingTasks,
} from "./capacity.ts";
import type { SearchContext } from "./suitable_workers.ts";
import { workersForGang } from "./worker_ranking.ts";

/**
 * Largest share of a service's processors that may be reserved before they are
 * free.
 */
const MAX_PENDING_SHARE = 0.5;
/**
 * Share of a service's processors in use from which gangs may reserve capacity
 * that is not free yet. Below, gangs find enough free capacity, and by the
 * platform's rules whatever fits must start at once.
 */
const BUSY_SHARE = 0.55;
/**
 * Number of a service's gangs that may fail to reserve in one pass before the
 * remaining gangs are skipped.
 */
const MAX_FAILED_GANGS = 6;

/**
 * Time for which a gang keeps the capacity that it has chosen, milliseconds:
 * roughly the time that a task takes to end.
 */
const RESERVATION_LIFETIME_MS = 60;

/** Reservation of one gang. */
interface Reservation {
  /** Position of the gang in the backlog. */
  readonly position: number;
  readonly byWorker: CapacityByWorker;
  /** Reserved processors that are not free yet, thousandths. */
  readonly pendingMillis: number;
  /** When the capacity was chosen, monotonic milliseconds. */
  readonly chosenMs: number;
}

/** The reservations of one scheduling pass. */
export class Reservations {
  #byStep = new Map<StepRun, Reservation>();
  #previous = new Map<StepRun, Reservation>();
  /**
   * Processors of each service that may still be reserved before they are free,
   * thousandths.
   */
  readonly #budgetMillis = new Map<string, number>();
  /**
   * Number of gangs of each service that could not reserve enough capacity in
   * this pass.
   */
  readonly #failedGangs = new Map<string, number>();

  /** Whether gangs of a service may reserve capacity that is not free yet. */
  mayReserve(service: string): boolean {
    return this.#budgetOf(service) > 0 &&
      (this.#failedGangs.get(service) ?? 0) < MAX_FAILED_GANGS;
  }

  /** Begins a scheduling pass, given the processors of each service. */
  beginPass(totals: ReadonlyMap<string, ServiceTotals>): void {
    this.#previous = this.#byStep;
    this.#byStep = new Map();
    this.#budgetMillis.clear();
    this.#failedGangs.clear();
    for (const [service, { cpuMillis, usedMillis }] of totals) {
      const isBusy = usedMillis > BUSY_SHARE * cpuMillis;
      this.#budgetMillis.set(
        service,
        isBusy ? MAX_PENDING_SHARE * cpuMillis : 0,
      );
    }
  }

  /**
   * Keeps the gang's reservation of the previous pass. Returns `false` if there
   * is none or it is too old.
   */
  renew(
    step: StepRun,
    position: number,
    { service, nowMs }: { readonly service: string; readonly nowMs: number },
  ): boolean {
    const previous = this.#previous.get(step);
    if (
      previous === undefined ||
      nowMs - previous.chosenMs > RESERVATION_LIFETIME_MS
    ) {
      return false;
    }
    this.#spendBudget(service, previous.pendingMillis);
    this.#byStep.set(step, { ...previous, position });
    return true;
  }

  /**
   * Reserves capacity for a gang on some of these workers, which are ordered by
   * preference. Returns `false` if they don't have enough.
   */
  reserve(
    step: StepRun,
    workers: readonly FleetWorker[],
    { position, service, reserved, nowMs }: {
      readonly position: number;
      readonly service: string;
      readonly reserved: ReservedCapacity;
      readonly nowMs: number;
    },
  ): boolean {
    const amounts = chargedAmounts(step);
    const counts = chooseCapacity(step, workers, reserved);
    if (counts.size === 0) return this.#fail(service);
    let pendingMillis = 0;
    for (const [worker, count] of counts) {
      const free = tasksThatFit(availableCapacity(worker, reserved), amounts);
      pendingMillis += Math.max(0, count - free) * amounts.cpuMillis;
    }
    if (pendingMillis > this.#budgetOf(service)) return this.#fail(service);
    this.#spendBudget(service, pendingMillis);
    const byWorker = new Map<string, Amounts>();
    for (const [{ id }, count] of counts) {
      byWorker.set(id, plus(NO_AMOUNTS, amounts, count));
    }
    const reservation = {
      position,
      byWorker,
      pendingMillis,
      chosenMs: nowMs,
    };
    this.#byStep.set(step, reservation);
    return true;
  }

  /** The capacity that a gang has reserved in this pass. */
  of(step: StepRun): CapacityByWorker {
    return this.#byStep.get(step)?.byWorker ?? NO_CAPACITY;
  }

  /**
   * Capacity reserved by gangs other than `step` that are before a position of
   * the backlog, one entry per gang.
   */
  before(position: number, step: StepRun): readonly CapacityByWorker[] {
    return [...this.#byStep]
      .filter(([owner, reservation]) =>
        owner !== step && reservation.position < position
      )
      .map(([, { byWorker }]) => byWorker);
  }

  /** Counts a gang that could not reserve enough; `false` for the caller to return. */
  #fail(service: string): false {
    this.#failedGangs.set(service, (this.#failedGangs.get(service) ?? 0) + 1);
    return false;
  }

  #budgetOf(service: string): number {
    return this.#budgetMillis.get(service) ?? 0;
  }

  #spendBudget(service: string, cpuMillis: number): void {
    this.#budgetMillis.set(
      service,
      this.#budgetOf(service) - cpuMillis,
    );
  }
}

/**
 * Workers on which a gang can reserve capacity: eligible workers, with a
 * positive verdict if the queue needs advice. For a gang that prefers a single
 * rack, only those of one rack that can hold it, if there is one: that with the
 * most such workers.
 */
export function reservableFor(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  const { fleet, queue } = context;
  const { verdicts } = step.advice;
  const eligible: FleetWorker[] = [];
  for (const worker of fleet.workers.values()) {
    if (queue.advice !== undefined && verdicts.on(worker) !== true) {
      continue;
    }
    if (!isEligible(step, worker, context)) continue;
    if (maxTasksOn(step, worker) > 0) eligible.push(worker);
  }
  if (!step.spec.sameRack) return eligible;
  const needed = waitingTasks(step).length;
  const racks = groupByRack(eligible)
    .filter((rack) =>
      rack.reduce((sum, worker) => sum + maxTasksOn(step, worker), 0) >= needed
    )
    .sort((a, b) => b.length - a.length);
  return racks[0] ?? eligible;
}

/**
 * Whether the workers that may run a gang by the rules of the queue and the step
 * could hold all of it, if nothing but long-running tasks ran there.
 */
export function couldHold(step: StepRun, context: SearchContext): boolean {
  let missing = waitingTasks(step).length;
  for (const worker of context.index.workers(context.queue.service)) {
    if (missing <= 0) break;
    if (isEligible(step, worker, context)) missing -= maxTasksOn(step, worker);
  }
  return missing <= 0;
}

/**
 * Orders workers for a gang's reservation by expected run time. Leaves out
 * those too slow for the gang if the others have enough capacity.
 */
export function orderForReservation(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  if (!context.index.hasUnevenSpeeds(context.queue.service)) return workers;
  return workersForGang(step, workers, {
    ...context,
    neededTasks: waitingTasks(step).length,
    taskCapacityOf: (worker) => maxTasksOn(step, worker),
  });
}

/**
 * Chooses the number of tasks on each worker: first what fits into the free
 * capacity, then one more task per worker and round, the emptiest workers
 * first, until the whole gang fits. Empty if it cannot fit.
 */
function chooseCapacity(
  step: StepRun,
  workers: readonly FleetWorker[],
  reserved: ReservedCapacity,
): ReadonlyMap<FleetWorker, number> {
  const amounts = chargedAmounts(step);
  const counts = new Map<FleetWorker, number>();
  let missing = waitingTasks(step).length;
  for (const worker of workers) {
    const free = tasksThatFit(availableCapacity(worker, reserved), amounts);
    const count = Math.min(missing, free, remainingPerWorker(step, worker));
    if (count <= 0) continue;
    counts.set(worker, count);
    missing -= count;
  }
  const freeAfter = (worker: FleetWorker) =>
    freeCapacityOf(worker).cpuMillis -
    (counts.get(worker) ?? 0) * amounts.cpuMillis;
  const emptiest = [...workers].sort((a, b) => freeAfter(b) - freeAfter(a));
  while (missing > 0) {
    const usable = emptiest.filter((worker) =>
      (counts.get(worker) ?? 0) < maxTasksOn(step, worker)
    );
    if (usable.length === 0) return new Map();
    for (const worker of usable.slice(0, missing)) {
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    missing -= Math.min(missing, usable.length);
  }
  return counts;
}
