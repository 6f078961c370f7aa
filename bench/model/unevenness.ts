/**
 * How workers, tasks and teams of a deployment differ, and how their spread is
 * drawn.
 *
 * @module
 */
import type { StepSpec } from "../../src/cell/types.ts";
import type { Random } from "../random.ts";

/** Spread of run times and sizes of steps, as the deviation of the logarithm. */
export const SIZE_SPREAD = 0.45;

/** Number of a model worker by its id, from 0. */
export function workerNumber(id: string): number {
  return Number(id.slice(1));
}

/** What is not alike in a deployment. */
export interface Unevenness {
  /** Run time on a worker over that on an average one, by the worker's number. */
  readonly timeFactorOf: (worker: number) => number;
  /** Whether the cell knows speeds and the spread of run times from the start. */
  readonly isKnown: boolean;
  /** How the tasks of a step outside gangs differ. */
  readonly taskSpread: TaskSpread;
  /** Part of all submissions by team, the largest first. */
  readonly teamShares: readonly number[];
}

/** How run times of the tasks of a step spread around that of the step. */
export interface TaskSpread {
  /** Deviation of the logarithm. */
  readonly deviation: number;
  /** Part of the tasks that takes `longTimes` as long. */
  readonly longShare: number;
  readonly longTimes: number;
}

/** Draws the run times of the tasks of steps over those of their steps, by `STEP.TASK`. */
export function drawTaskTimes(
  steps: readonly StepSpec[],
  taskSpread: TaskSpread,
  random: Random,
): ReadonlyMap<string, number> {
  const found = new Map<string, number>();
  for (const [index, { tasks }] of steps.entries()) {
    for (let task = 0; task < tasks; task++) {
      found.set(`${index}.${task}`, drawTaskTime(taskSpread, random));
    }
  }
  return found;
}

function drawTaskTime(
  { deviation, longShare, longTimes }: TaskSpread,
  random: Random,
): number {
  const times = random.unit() < longShare ? longTimes : 1;
  return times * spread(random, deviation);
}

/** Draws the run time of a task over the mean of its kind. */
export function drawTime(
  taskSpread: TaskSpread | undefined,
  random: Random,
): number {
  const step = spread(random, SIZE_SPREAD);
  return taskSpread === undefined
    ? step
    : step * drawTaskTime(taskSpread, random);
}

/** A factor around one: the exponential of a normal deviate, which is made of twelve uniform ones. */
export function spread(random: Random, deviation: number): number {
  let normal = -6;
  for (let i = 0; i < 12; i++) normal += random.unit();
  return Math.exp(deviation * normal - deviation * deviation / 2);
}
