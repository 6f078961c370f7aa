/**
 * Ranks suitable workers for a step by its expected run time on them.
 *
 * Load pattern: workers of uneven speed, of which a third takes 1.7 times and a
 * third 0.6 times as long as the others, running urgent steps with an objective
 * of 1.5 times their run time and 0.25 s. Urgent work is placed where it ends
 * in time. Deferrable work with slack leaves the fast workers to it.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import type { TimeBudget } from "./backlog_order.ts";

/** Source of expected run times; implemented by `RunTimes`. */
export interface ExpectedTimes {
  /**
   * Run time of a task of a step on an average worker that a share `quantile`
   * (0 to 1) of the runs does not exceed, milliseconds.
   */
  expectedMs(step: StepRun, quantile: number): number;
}

/** What the ranking of workers for a step depends on. */
export interface RankingGoal {
  readonly queue: Queue;
  readonly runTimes: ExpectedTimes;
  /** The time that is left for the step. */
  readonly timeBudget: () => TimeBudget;
}

/** The same with the tasks to place and the capacity of the workers. */
export interface PlacementGoal extends RankingGoal {
  /** Number of tasks to place. */
  readonly neededTasks: number;
  /** Number of the step's tasks that fit on a worker. */
  readonly taskCapacityOf: (worker: FleetWorker) => number;
}

/** Sort key of a worker; lower tiers are preferred. */
export type TierOf = (worker: FleetWorker) => number;

/** Share of the steps that should end within their expected time. */
const TARGET_QUANTILE = 0.9;
/**
 * Time from the placement to the visible end of a step in addition to the run
 * itself, milliseconds. The start and the end are recorded in commits that
 * batch for 20 ms each, and a start request and a report are sent.
 */
const RUN_OVERHEAD_MS = 60;
/**
 * Factors within this distance of 1 count as 1: the learned factors of even
 * workers vary as much.
 */
const EVEN_TOLERANCE = 0.05;
/**
 * Smallest time factor of a cold worker. The platform does not report how slow
 * a cold worker is; 1.5 is the stretch that the objective of urgent work
 * allows.
 */
const MIN_COLD_FACTOR = 1.5;
/**
 * Width of a speed band: workers whose factors differ by less than about this
 * ratio count as alike, so that small differences in speed do not outweigh
 * capacity.
 */
const BAND_RATIO = 1.25;
const HALF_BAND_RATIO = Math.sqrt(BAND_RATIO);
/**
 * Tier offset of workers that are too slow for the step, greater than all
 * bands.
 */
const LATE_TIER = 1_000;
/** Tier offset of workers that fail, greater than all other tiers by speed. */
const FAILING_TIER = 10_000;
/**
 * Share of failed runs from which a worker comes last whatever its speed: one
 * failure among its last four runs.
 */
const MIN_FAILING_SHARE = 0.1;

/**
 * Time factor of a worker that placement uses; exactly 1 if it is close to
 * average.
 */
export function timeFactorOf(worker: FleetWorker): number {
  const { timeFactor } = worker;
  if (isCold(worker)) return Math.max(timeFactor, MIN_COLD_FACTOR);
  return Math.abs(timeFactor - 1) <= EVEN_TOLERANCE ? 1 : timeFactor;
}

/** Whether a worker counts as average in speed. */
export function isAverage(worker: FleetWorker): boolean {
  return timeFactorOf(worker) === 1;
}

/** Whether the platform lists a worker as still slow after its start. */
export function isCold({ entry }: FleetWorker): boolean {
  return (entry?.coldLeftMs ?? 0) > 0;
}

/** Whether too many of a worker's last runs failed for its speed to matter. */
function isFailing({ failureShare }: FleetWorker): boolean {
  return failureShare >= MIN_FAILING_SHARE;
}

/**
 * Returns a function that gives the tier of each worker for a step; `undefined`
 * if expected run times make no difference, because all workers are average in
 * speed or the step has no expected end.
 */
export function tiersFor(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: PlacementGoal,
): TierOf | undefined {
  const { spec } = step;
  // Long-running and backfill tasks have no end that could be in time.
  if (spec.longRunning || spec.backfill) return undefined;
  if (workers.every(isAverage)) return undefined;
  const isInTime = inTimePredicate(step, goal);
  const urgent = goal.queue.priority === 0;
  if (spec.gang) {
    const slowestBand = slowestGangBand(workers, { ...goal, isInTime });
    return (worker) => {
      const band = bandOf(worker);
      if (band > slowestBand) return LATE_TIER + band;
      return urgent ? 0 : -band;
    };
  }
  return (worker) => {
    const band = bandOf(worker);
    if (!isInTime(timeFactorOf(worker))) return LATE_TIER + band;
    return urgent ? 0 : -band;
  };
}

/**
 * Sorts items by tier and keeps the given order within a tier. Linear in the
 * number of items, as there are few tiers.
 */
export function sortByTier<T>(
  items: readonly T[],
  tierOf: (item: T) => number,
): readonly T[] {
  const groups = new Map<number, T[]>();
  for (const item of items) {
    const tier = tierOf(item);
    const group = groups.get(tier);
    if (group === undefined) groups.set(tier, [item]);
    else group.push(item);
  }
  return [...groups].sort(([a], [b]) => a - b).flatMap(([, group]) => group);
}

/** Tier of a worker, with failing workers after all others. */
export function tierWithFailures(worker: FleetWorker, tierOf: TierOf): number {
  return tierOf(worker) + (isFailing(worker) ? FAILING_TIER : 0);
}

/**
 * Workers on which a waiting gang should reserve capacity, the slowest band
 * first: the workers on which it ends in time if they could hold it, otherwise
 * as few slower bands as necessary.
 */
export function workersForGang(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: PlacementGoal,
): readonly FleetWorker[] {
  const { longRunning, backfill } = step.spec;
  if (longRunning || backfill || workers.every(isAverage)) return workers;
  const isInTime = inTimePredicate(step, goal);
  const groups = groupByBand(workers, goal);
  const feasible = feasibleGroups(groups, goal.neededTasks);
  const slowest = feasible.findLast(({ timeFactor }) => isInTime(timeFactor)) ??
    feasible[0];
  if (slowest === undefined) return workers;
  return workers.filter((worker) => bandOf(worker) <= slowest.band)
    .sort((a, b) => bandOf(b) - bandOf(a));
}

/**
 * Time factor of the slowest of a gang's workers, and whether the gang ends in
 * time there.
 */
export function slowestOf(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: RankingGoal,
): { readonly timeFactor: number; readonly inTime: boolean } {
  const timeFactor = Math.max(...workers.map(timeFactorOf));
  return { timeFactor, inTime: inTimePredicate(step, goal)(timeFactor) };
}

/**
 * Speed band of a worker. Workers of one band count as alike; 0 is average,
 * higher is slower.
 */
function bandOf(worker: FleetWorker): number {
  let timeFactor = timeFactorOf(worker);
  let band = 0;
  // A search computes the bands of all workers; the few iterations are faster
  // than a logarithm.
  for (; timeFactor > HALF_BAND_RATIO; timeFactor /= BAND_RATIO) band++;
  for (; timeFactor * HALF_BAND_RATIO < 1; timeFactor *= BAND_RATIO) band--;
  return band;
}

/**
 * Returns a predicate: whether a step is expected to end in time on a worker
 * with a given time factor.
 */
function inTimePredicate(
  step: StepRun,
  { runTimes, timeBudget }: RankingGoal,
): (timeFactor: number) => boolean {
  const budget = timeBudget();
  // A step without value does not take fast workers from others.
  if (budget.worthless) return () => true;
  // A step is in time if its last task is. The tasks of a gang count as one
  // run.
  const independentRuns = step.spec.gang ? 1 : step.spec.tasks;
  const taskMs = runTimes.expectedMs(
    step,
    TARGET_QUANTILE ** (1 / independentRuns),
  );
  const maxMs = budget.remainingMs - RUN_OVERHEAD_MS;
  return (timeFactor) => taskMs * timeFactor <= maxMs;
}

/** The workers of one band. */
interface BandGroup {
  readonly band: number;
  /** Time factor of its slowest worker. */
  timeFactor: number;
  capacity: number;
}

/** Groups workers by band, the fastest band first. */
function groupByBand(
  workers: readonly FleetWorker[],
  { taskCapacityOf }: PlacementGoal,
): readonly BandGroup[] {
  const groups = new Map<number, BandGroup>();
  for (const worker of workers) {
    const band = bandOf(worker);
    const group = groups.get(band) ?? { band, timeFactor: 0, capacity: 0 };
    group.timeFactor = Math.max(group.timeFactor, timeFactorOf(worker));
    group.capacity += taskCapacityOf(worker);
    groups.set(band, group);
  }
  return [...groups.values()].sort((a, b) => a.band - b.band);
}

/**
 * Bands that together with the faster ones have capacity for the needed tasks.
 */
function feasibleGroups(
  groups: readonly BandGroup[],
  neededTasks: number,
): readonly BandGroup[] {
  let capacity = 0;
  return groups.filter((group) => {
    capacity += group.capacity;
    return capacity >= neededTasks;
  });
}

/**
 * The slowest band that a gang uses. Members of a gang run as long as the
 * slowest one, so a single slow member holds back all others.
 *
 * For an urgent gang it is the slowest band with which the gang ends in time.
 * For others it is the band with which the gang ends in time and blocks the
 * least work; of equal ones, the slowest. If the gang ends in time with none,
 * it is the fastest band that, together with the faster ones, holds the gang.
 */
function slowestGangBand(
  workers: readonly FleetWorker[],
  goal: PlacementGoal & { readonly isInTime: (timeFactor: number) => boolean },
): number {
  const { neededTasks, isInTime, queue } = goal;
  const groups = groupByBand(workers, goal);
  const feasible = feasibleGroups(groups, neededTasks);
  const inTime = feasible.filter(({ timeFactor }) => isInTime(timeFactor));
  if (queue.priority === 0) {
    return (inTime.at(-1) ?? feasible[0])?.band ?? Infinity;
  }
  let slowestBand = feasible[0]?.band ?? Infinity;
  let leastBlocked = Infinity;
  for (const { band } of inTime) {
    const used = groups.filter((group) => group.band <= band);
    const blocked = blockedWork(used.toReversed(), neededTasks);
    if (blocked > leastBlocked) continue;
    leastBlocked = blocked;
    slowestBand = band;
  }
  return slowestBand;
}

/**
 * Work that a gang's workers could do while the gang occupies them, in tasks of
 * an average worker. The slowest band determines the duration, and the other
 * workers wait for it.
 */
function blockedWork(
  fromSlowest: readonly BandGroup[],
  neededTasks: number,
): number {
  const slowest = fromSlowest[0]?.timeFactor ?? 1;
  let missing = neededTasks;
  let blocked = 0;
  for (const { timeFactor, capacity } of fromSlowest) {
    const assigned = Math.min(missing, capacity);
    blocked += assigned * slowest / timeFactor;
    missing -= assigned;
  }
  return blocked;
}
