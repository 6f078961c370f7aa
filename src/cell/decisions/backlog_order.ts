/**
 * Scheduling order of the steps in the backlog.
 *
 * Load pattern: a burst with more work than can finish in time. Steps that can
 * still finish in time are placed before late ones, and steps of submissions
 * without any value left are placed last.
 *
 * @module
 */
import type { StepRun } from "../job.ts";
import type { JobSpec, Queue } from "../types.ts";
import type { RunTimes } from "./run_times.ts";

/**
 * A job that ends after this many times its objective has no value left;
 * source: the platform's rules.
 */
const MAX_USEFUL_OBJECTIVES = 3;

/**
 * Sort key of a step in the backlog. Fields are compared in the order of
 * {@linkcode compareRanks}, lower values first.
 */
export interface Rank {
  /**
   * 0: in time, or long-running; 1: late but still of value; 2: deferrable and
   * beyond its team's share; 3: without any value left.
   */
  readonly lateness: number;
  /** Priority of the queue; 0 is the most urgent. */
  readonly priority: number;
  /**
   * 1 if the job was beyond its team's share when it was submitted: its steps
   * are placed after others of the same lateness and priority. Otherwise 0.
   */
  readonly overShare: number;
  /** Latest start with which the step is in time, Unix milliseconds. */
  readonly startByMs: number;
}

/** Ranks a step. `nowMs`: Unix milliseconds. */
export function rankOf(
  step: StepRun,
  queue: Queue | undefined,
  { runTimes, nowMs, dueMs }: {
    readonly runTimes: RunTimes;
    readonly nowMs: number;
    /** When the step's occurrence was due, Unix milliseconds. */
    readonly dueMs: number;
  },
): Rank {
  const { job, spec } = step;
  const priority = queue?.priority ?? 0;
  const taskMs = runTimes.meanMs(job.queue, spec.estimateMs);
  const chains = chainsOf(job.spec);
  const objectiveMs = objectiveOf(queue, chains.longest * taskMs);
  const remainingWorkMs = (chains.fromStep[step.index] ?? 1) * taskMs;
  const startByMs = dueMs + objectiveMs - remainingWorkMs;
  const lastUsefulStartMs = dueMs + MAX_USEFUL_OBJECTIVES * objectiveMs -
    remainingWorkMs;
  return {
    lateness: latenessOf(step, {
      priority,
      nowMs,
      startByMs,
      lastUsefulStartMs,
    }),
    priority,
    overShare: job.owed ? 0 : 1,
    startByMs,
  };
}

/** Time constraints of a submission, milliseconds. */
export interface JobTiming {
  /** Time from its first sending within which it has to be done. */
  readonly objectiveMs: number;
  /** The part of the objective that remains after its expected run time. */
  readonly slackMs: number;
}

/**
 * Computes the time constraints of a submission from the run times of its
 * queue.
 */
export function jobTimingOf(
  spec: JobSpec,
  queue: Queue,
  runTimes: RunTimes,
): JobTiming {
  const taskMs = runTimes.meanMs(queue.name, spec.steps[0]?.estimateMs ?? 0);
  const chainMs = chainsOf(spec).longest * taskMs;
  const objectiveMs = objectiveOf(queue, chainMs);
  return { objectiveMs, slackMs: Math.max(0, objectiveMs - chainMs) };
}

/** The time that is left for a step. */
export interface TimeBudget {
  /**
   * Time until the step should be done, milliseconds from now: each step that
   * remains on its longest chain gets an equal part of the time left. Negative
   * if the step is late.
   */
  readonly remainingMs: number;
  /** Whether the submission has no value left, however soon it ends. */
  readonly worthless: boolean;
}

/** Computes the time that is left for a step. `nowMs`: Unix milliseconds. */
export function timeBudgetFor(
  step: StepRun,
  queue: Queue,
  { runTimes, nowMs, dueMs }: {
    readonly runTimes: RunTimes;
    readonly nowMs: number;
    /** When the step's occurrence was due, Unix milliseconds. */
    readonly dueMs: number;
  },
): TimeBudget {
  const { job, spec } = step;
  const taskMs = runTimes.meanMs(job.queue, spec.estimateMs);
  const chains = chainsOf(job.spec);
  const objectiveMs = objectiveOf(queue, chains.longest * taskMs);
  const remainingSteps = chains.fromStep[step.index] ?? 1;
  const lastUsefulStartMs = dueMs + MAX_USEFUL_OBJECTIVES * objectiveMs -
    remainingSteps * taskMs;
  return {
    remainingMs: (dueMs + objectiveMs - nowMs) / remainingSteps,
    worthless: nowMs > lastUsefulStartMs,
  };
}

/** Compares ranks for sorting, the first to be placed first. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.lateness - b.lateness || a.priority - b.priority ||
    a.overShare - b.overShare || a.startByMs - b.startByMs;
}

function objectiveOf(queue: Queue | undefined, chainMs: number): number {
  return (queue?.stretch ?? 1) * chainMs + (queue?.objectiveMs ?? 0);
}

function latenessOf(
  step: StepRun,
  { priority, nowMs, startByMs, lastUsefulStartMs }: {
    readonly priority: number;
    readonly nowMs: number;
    readonly startByMs: number;
    readonly lastUsefulStartMs: number;
  },
): number {
  if (!step.job.owed && priority > 0) return 2;
  if (step.spec.longRunning || nowMs <= startByMs) return 0;
  return nowMs <= lastUsefulStartMs ? 1 : 3;
}

/** Number of steps on the longest chains of a submission. */
interface ChainLengths {
  /** On the longest chain of all. */
  readonly longest: number;
  /** On the longest chain that starts with each step, by step index. */
  readonly fromStep: readonly number[];
}

/**
 * Chain lengths by submission. They never change, and every scheduling pass
 * needs all of them.
 */
const CHAINS_BY_SPEC = new WeakMap<JobSpec, ChainLengths>();

function chainsOf(spec: JobSpec): ChainLengths {
  const cached = CHAINS_BY_SPEC.get(spec);
  if (cached !== undefined) return cached;
  const chains = computeChains(spec);
  CHAINS_BY_SPEC.set(spec, chains);
  return chains;
}

/** Takes time in proportion to the number of steps and dependencies, which a client chooses. */
function computeChains({ steps }: JobSpec): ChainLengths {
  const fromStep = steps.map(() => 1);
  // A step depends on earlier ones only, so its own chain is complete when its turn comes.
  for (let index = steps.length - 1; index >= 0; index--) {
    const length = 1 + fromStep[index]!;
    for (const dependency of steps[index]!.after) {
      fromStep[dependency] = Math.max(fromStep[dependency]!, length);
    }
  }
  const longest = fromStep.reduce((max, length) => Math.max(max, length), 0);
  return { longest, fromStep };
}
