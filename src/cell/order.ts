/**
 * Which step goes first.
 *
 * @module
 */
import type { StepRun } from "./job.ts";
import type { Queue } from "./types.ts";

/** Weight of a new duration in the running mean of a queue. */
const LEARNING_RATE = 0.1;
/** A job that ends after this many objectives earns nothing any more; source: the platform's rules. */
const WORTHLESS_AFTER = 3;

/** How long runs of each queue take. */
export class Durations {
  readonly #means = new Map<string, number>();

  /** Records a run that was done. */
  learn(queue: string, durationMs: number): void {
    const mean = this.#means.get(queue);
    const next = mean === undefined
      ? durationMs
      : mean + LEARNING_RATE * (durationMs - mean);
    this.#means.set(queue, next);
  }

  /** Mean run time of a queue, milliseconds; the submitted estimate before the first run. */
  of(queue: string, estimateMs: number): number {
    return this.#means.get(queue) ?? estimateMs;
  }
}

/** Place of a step in the line: lower goes first, field by field. */
export interface Rank {
  /** 0: in time; 1: late, still worth something; 2: beyond its team's weight; 3: worthless. */
  readonly lateness: number;
  readonly priority: number;
  /** Latest start that is in time, Unix milliseconds. */
  readonly startByMs: number;
}

/** Ranks a step at a time of the wall clock. */
export function rankOf(
  step: StepRun,
  queue: Queue | undefined,
  { durations, nowMs, dueMs }: {
    readonly durations: Durations;
    readonly nowMs: number;
    /** When the step's occurrence was due, Unix milliseconds. */
    readonly dueMs: number;
  },
): Rank {
  const { job, spec } = step;
  const taskMs = durations.of(job.queue, spec.estimateMs);
  const chain = longestChain(step);
  const objectiveMs = (queue?.stretch ?? 1) * chain.whole * taskMs +
    (queue?.objectiveMs ?? 0);
  const restMs = chain.rest * taskMs;
  const startByMs = dueMs + objectiveMs - restMs;
  const lastMs = dueMs + WORTHLESS_AFTER * objectiveMs - restMs;
  return {
    lateness: latenessOf(step, { nowMs, startByMs, lastMs }),
    priority: queue?.priority ?? 0,
    startByMs,
  };
}

/** Orders ranks. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.lateness - b.lateness || a.priority - b.priority ||
    a.startByMs - b.startByMs;
}

function latenessOf(
  step: StepRun,
  { nowMs, startByMs, lastMs }: {
    readonly nowMs: number;
    readonly startByMs: number;
    readonly lastMs: number;
  },
): number {
  if (!step.job.owed) return 2;
  if (step.spec.longRunning || nowMs <= startByMs) return 0;
  return nowMs <= lastMs ? 1 : 3;
}

/** Steps on the longest chain of the job, and on the longest from this step on. */
function longestChain(step: StepRun): { whole: number; rest: number } {
  const { steps } = step.job.spec;
  const before: number[] = [];
  for (const [index, spec] of steps.entries()) {
    before[index] = 1 + Math.max(0, ...spec.after.map((i) => before[i] ?? 0));
  }
  const behind: number[] = [];
  for (let index = steps.length - 1; index >= 0; index--) {
    const next = steps.flatMap((spec, other) =>
      spec.after.includes(index) ? [behind[other] ?? 0] : []
    );
    behind[index] = 1 + Math.max(0, ...next);
  }
  return { whole: Math.max(...before), rest: behind[step.index] ?? 1 };
}
