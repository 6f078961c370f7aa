/**
 * Which of the suitable workers a step prefers by its expected time on them.
 *
 * Load pattern: workers of uneven speed, of which a third takes 1.7 times and a
 * third 0.6 times as long as the others, below urgent steps that may take 1.5
 * times their work and 0.25 s. Urgent work goes where it ends in time;
 * deferrable work with time to spare leaves the fast workers to it.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import type { StepTime } from "./order.ts";

/** Expected run times; source: `RunTimes`. */
export interface ExpectedTimes {
  /** Run time of a task of a step on an average worker that a `quantile` (0 to 1) of the runs do not exceed, milliseconds. */
  expectedMs(step: StepRun, quantile: number): number;
}

/** What a choice goes by. */
export interface ChoiceGoal {
  readonly queue: Queue;
  readonly runTimes: ExpectedTimes;
  /** How long the step may take. */
  readonly timeOf: () => StepTime;
}

/** The same with the room that a gang needs. */
export interface GangGoal extends ChoiceGoal {
  /** Places that are needed. */
  readonly needed: number;
  /** Places that a worker has for the step. */
  readonly placesOn: (worker: FleetWorker) => number;
}

/** Place of a worker in the choice, lower first. */
export type TierOf = (worker: FleetWorker) => number;

/** Part of the steps that are to end within the time that is expected of them. */
const QUANTILE = 0.9;
/** Between the decision and the shown end beside the run itself, milliseconds: the start and the end are recorded in commits that gather for 20 ms each, and an order and a report are on the way. */
const AROUND_RUN_MS = 60;
/** Factors this close to 1 are not told from it: what is learned of workers that are even spreads as much. */
const EVEN_WITHIN = 0.05;
/** Least time factor of a cold worker: it does not say how slow it is, and the objective of urgent work allows half as long again. */
const COLD_FACTOR = 1.5;
/** Workers whose factors differ by less than about this ratio count as alike, so that small differences do not override room. */
const BAND_RATIO = 1.25;
const HALF_BAND = Math.sqrt(BAND_RATIO);
/** Tier of workers that are too slow, beyond all bands of the others. */
const LATE_TIER = 1_000;
/** The same for workers that fail, beyond all tiers of the others. */
const FAILING_TIER = 10_000;
/** Share of failed runs from which a worker goes last whatever its speed: one failure among its last four runs. */
const FAILING_SHARE = 0.1;

/** A worker's time factor; 1 for one that is as good as average. */
export function timeFactorOf(worker: FleetWorker): number {
  const { timeFactor } = worker;
  if (isCold(worker)) return Math.max(timeFactor, COLD_FACTOR);
  return Math.abs(timeFactor - 1) <= EVEN_WITHIN ? 1 : timeFactor;
}

/** Whether a worker is as good as average. */
export function isAverage(worker: FleetWorker): boolean {
  return timeFactorOf(worker) === 1;
}

/** Whether a worker says that it is still slow after its start. */
export function isCold({ entry }: FleetWorker): boolean {
  return (entry?.coldLeftMs ?? 0) > 0;
}

/** Whether lately so many runs failed on a worker that its speed does not count. */
function isFailing({ failureShare }: FleetWorker): boolean {
  return failureShare >= FAILING_SHARE;
}

/**
 * Orders workers for a step; `undefined` where all are as good as average, so
 * that expected time tells nothing.
 */
export function tiersFor(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: GangGoal,
): TierOf | undefined {
  const { spec } = step;
  // Tasks that last have no end to bring in time.
  if (spec.longRunning || spec.backfill) return undefined;
  if (workers.every(isAverage)) return undefined;
  const isInTime = inTimeOf(step, goal);
  const urgent = goal.queue.priority === 0;
  if (spec.gang) {
    const cap = gangCap(workers, { ...goal, isInTime });
    return (worker) => {
      const band = bandOf(worker);
      if (band > cap) return LATE_TIER + band;
      return urgent ? 0 : -band;
    };
  }
  return (worker) => {
    const band = bandOf(worker);
    if (!isInTime(timeFactorOf(worker))) return LATE_TIER + band;
    return urgent ? 0 : -band;
  };
}

/** Brings ordered things into the order of their tiers, those of a tier in the order in which they came. Linear, as tiers are few. */
export function byTier<T>(
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

/** Tier of a worker, behind all others for one that fails. */
export function tierWithFailures(worker: FleetWorker, tierOf: TierOf): number {
  return tierOf(worker) + (isFailing(worker) ? FAILING_TIER : 0);
}

/** Workers for a gang that waits for room: those that bring it in time if they could hold it, else as few slower ones as will do. */
export function gangWorkers(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: GangGoal,
): readonly FleetWorker[] {
  const { longRunning, backfill } = step.spec;
  if (longRunning || backfill || workers.every(isAverage)) return workers;
  const isInTime = inTimeOf(step, goal);
  const levels = levelsOf(workers, goal);
  const feasible = feasibleOf(levels, goal.needed);
  const cap = feasible.findLast(({ timeFactor }) => isInTime(timeFactor)) ??
    feasible[0];
  if (cap === undefined) return workers;
  return workers.filter((worker) => bandOf(worker) <= cap.band)
    .sort((a, b) => bandOf(b) - bandOf(a));
}

/** The slowest of the workers of a gang, and whether the gang ends in time there. */
export function slowestOf(
  step: StepRun,
  workers: readonly FleetWorker[],
  goal: ChoiceGoal,
): { readonly timeFactor: number; readonly inTime: boolean } {
  const timeFactor = Math.max(...workers.map(timeFactorOf));
  return { timeFactor, inTime: inTimeOf(step, goal)(timeFactor) };
}

/** Workers of one band are alike; 0 is average, higher is slower. */
function bandOf(worker: FleetWorker): number {
  let timeFactor = timeFactorOf(worker);
  let band = 0;
  // A look asks for the bands of all workers; a logarithm would take longer than the few steps.
  for (; timeFactor > HALF_BAND; timeFactor /= BAND_RATIO) band++;
  for (; timeFactor * HALF_BAND < 1; timeFactor *= BAND_RATIO) band--;
  return band;
}

/** Whether a step is expected to be in time on a worker of a time factor. */
function inTimeOf(
  step: StepRun,
  { runTimes, timeOf }: ChoiceGoal,
): (timeFactor: number) => boolean {
  const time = timeOf();
  // What earns nothing any more takes no fast worker from others.
  if (time.worthless) return () => true;
  // A step is in time if its last task is; a gang runs as one.
  const alone = step.spec.gang ? 1 : step.spec.tasks;
  const taskMs = runTimes.expectedMs(step, QUANTILE ** (1 / alone));
  const mostMs = time.leftMs - AROUND_RUN_MS;
  return (timeFactor) => taskMs * timeFactor <= mostMs;
}

/** The workers of one band. */
interface Level {
  readonly band: number;
  /** Of its slowest worker. */
  timeFactor: number;
  places: number;
}

/** The bands of workers, the fastest first. */
function levelsOf(
  workers: readonly FleetWorker[],
  { placesOn }: GangGoal,
): readonly Level[] {
  const levels = new Map<number, Level>();
  for (const worker of workers) {
    const band = bandOf(worker);
    const level = levels.get(band) ?? { band, timeFactor: 0, places: 0 };
    level.timeFactor = Math.max(level.timeFactor, timeFactorOf(worker));
    level.places += placesOn(worker);
    levels.set(band, level);
  }
  return [...levels.values()].sort((a, b) => a.band - b.band);
}

/** Bands that have the places needed together with the faster ones. */
function feasibleOf(
  levels: readonly Level[],
  needed: number,
): readonly Level[] {
  let places = 0;
  return levels.filter((level) => {
    places += level.places;
    return places >= needed;
  });
}

/**
 * The slowest band that a gang uses: of those that bring it in time the one
 * that wastes the least, as all members last as long as the slowest and one
 * slow member holds all others back; the slower one of equals. If none brings
 * it in time, the fastest that holds it.
 */
function gangCap(
  workers: readonly FleetWorker[],
  goal: GangGoal & { readonly isInTime: (timeFactor: number) => boolean },
): number {
  const { needed, isInTime, queue } = goal;
  const levels = levelsOf(workers, goal);
  const feasible = feasibleOf(levels, needed);
  const inTime = feasible.filter(({ timeFactor }) => isInTime(timeFactor));
  if (queue.priority === 0) {
    return (inTime.at(-1) ?? feasible[0])?.band ?? Infinity;
  }
  let cap = feasible[0]?.band ?? Infinity;
  let least = Infinity;
  for (const { band } of inTime) {
    const used = levels.filter((level) => level.band <= band);
    const held = workHeld(used.toReversed(), needed);
    if (held > least) continue;
    least = held;
    cap = band;
  }
  return cap;
}

/** Work that the workers of a gang could do while it holds them, in tasks of an average worker: the slowest band sets its time, the others wait. */
function workHeld(fromSlowest: readonly Level[], needed: number): number {
  const slowest = fromSlowest[0]?.timeFactor ?? 1;
  let left = needed;
  let held = 0;
  for (const { timeFactor, places } of fromSlowest) {
    const taken = Math.min(left, places);
    held += taken * slowest / timeFactor;
    left -= taken;
  }
  return held;
}
