/**
 * Distributions of worker speeds, task run times and team sizes, and random
 * samples of them.
 *
 * @module
 */
import type { StepSpec } from "../../src/cell/types.ts";
import type { Random } from "../random.ts";

/** Standard deviation of the logarithm of run times and sizes of steps. */
export const SIZE_SPREAD = 0.45;

/** Number of a simulated worker, from 0, by its id. */
export function workerNumber(id: string): number {
  return Number(id.slice(1));
}

/** How the workers, tasks and teams of a deployment differ. */
export interface Heterogeneity {
  /** Run time on a worker, by its number, over that on an average worker. */
  readonly timeFactorOf: (worker: number) => number;
  /** Whether the cell starts with estimates of the speeds and the distribution of run times. */
  readonly isKnown: boolean;
  /** Distribution of the run times of tasks outside gangs. */
  readonly taskTimeDistribution: TaskTimeDistribution;
  /** Shares of the teams in all submissions, the largest first. */
  readonly teamShares: readonly number[];
}

/** Distribution of the run times of tasks around that of their step. */
export interface TaskTimeDistribution {
  /** Standard deviation of the logarithm. */
  readonly deviation: number;
  /** Share of the tasks that take `longFactor` times as long as the others. */
  readonly longShare: number;
  readonly longFactor: number;
}

/** Samples the run times of tasks over those of their steps, by `STEP.TASK`. */
export function sampleTaskTimes(
  steps: readonly StepSpec[],
  taskTimeDistribution: TaskTimeDistribution,
  random: Random,
): ReadonlyMap<string, number> {
  const found = new Map<string, number>();
  for (const [index, { tasks }] of steps.entries()) {
    for (let task = 0; task < tasks; task++) {
      found.set(
        `${index}.${task}`,
        sampleTaskTime(taskTimeDistribution, random),
      );
    }
  }
  return found;
}

function sampleTaskTime(
  { deviation, longShare, longFactor }: TaskTimeDistribution,
  random: Random,
): number {
  const factor = random.uniform() < longShare ? longFactor : 1;
  return factor * sampleLogNormal(random, deviation);
}

/** Samples the run time of a task over the mean of its kind. */
export function sampleTime(
  taskTimeDistribution: TaskTimeDistribution | undefined,
  random: Random,
): number {
  const step = sampleLogNormal(random, SIZE_SPREAD);
  return taskTimeDistribution === undefined
    ? step
    : step * sampleTaskTime(taskTimeDistribution, random);
}

/** Samples a log-normal factor with a mean of 1; the normal deviate is the sum of twelve uniform ones. */
export function sampleLogNormal(random: Random, deviation: number): number {
  let normal = -6;
  for (let i = 0; i < 12; i++) normal += random.uniform();
  return Math.exp(deviation * normal - deviation * deviation / 2);
}
