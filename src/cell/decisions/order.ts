/**
 * Which step goes first.
 *
 * Load pattern: a burst in which more is in line than can be in time. What can
 * still be in time goes before what is late, and what is worthless waits last.
 *
 * @module
 */
import type { StepRun } from "../job.ts";
import type { JobSpec, Queue } from "../types.ts";
import type { RunTimes } from "./run_times.ts";

/** A job that ends after this many objectives earns nothing any more; source: the platform's rules. */
const WORTHLESS_AFTER = 3;

/** Place of a step in the line: lower goes first, field by field. */
export interface Rank {
  /** 0: in time; 1: late, still worth something; 2: deferrable and beyond its team's weight; 3: worthless. */
  readonly lateness: number;
  readonly priority: number;
  /** 1 for urgent work that its team sent beyond its weight: it goes behind its like. */
  readonly excess: number;
  /** Latest start that is in time, Unix milliseconds. */
  readonly startByMs: number;
}

/** Ranks a step at a time of the wall clock. */
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
  const objectiveMs = objectiveOf(queue, chains.whole * taskMs);
  const restMs = (chains.rest[step.index] ?? 1) * taskMs;
  const startByMs = dueMs + objectiveMs - restMs;
  const lastMs = dueMs + WORTHLESS_AFTER * objectiveMs - restMs;
  return {
    lateness: latenessOf(step, { priority, nowMs, startByMs, lastMs }),
    priority,
    excess: job.owed ? 0 : 1,
    startByMs,
  };
}

/** What a submission asks for in time, milliseconds. */
export interface Timing {
  /** Time from its first sending within which it is to be done. */
  readonly objectiveMs: number;
  /** Part of that which its own work leaves. */
  readonly spareMs: number;
}

/** Reckons the times of a submission by the run times of its queue. */
export function timingOf(
  spec: JobSpec,
  queue: Queue,
  runTimes: RunTimes,
): Timing {
  const taskMs = runTimes.meanMs(queue.name, spec.steps[0]?.estimateMs ?? 0);
  const chainMs = chainsOf(spec).whole * taskMs;
  const objectiveMs = objectiveOf(queue, chainMs);
  return { objectiveMs, spareMs: Math.max(0, objectiveMs - chainMs) };
}

/** Orders ranks. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.lateness - b.lateness || a.priority - b.priority ||
    a.excess - b.excess || a.startByMs - b.startByMs;
}

function objectiveOf(queue: Queue | undefined, chainMs: number): number {
  return (queue?.stretch ?? 1) * chainMs + (queue?.objectiveMs ?? 0);
}

function latenessOf(
  step: StepRun,
  { priority, nowMs, startByMs, lastMs }: {
    readonly priority: number;
    readonly nowMs: number;
    readonly startByMs: number;
    readonly lastMs: number;
  },
): number {
  if (!step.job.owed && priority > 0) return 2;
  if (step.spec.longRunning || nowMs <= startByMs) return 0;
  return nowMs <= lastMs ? 1 : 3;
}

/** Steps on the longest chains of a submission. */
interface Chains {
  /** On the longest chain of all. */
  readonly whole: number;
  /** On the longest chain from each step on. */
  readonly rest: readonly number[];
}

/** Chains by submission: they never change, and each pass asks for all of them. */
const CHAINS = new WeakMap<JobSpec, Chains>();

function chainsOf(spec: JobSpec): Chains {
  const known = CHAINS.get(spec);
  if (known !== undefined) return known;
  const chains = measureChains(spec);
  CHAINS.set(spec, chains);
  return chains;
}

function measureChains({ steps }: JobSpec): Chains {
  const before: number[] = [];
  for (const [index, spec] of steps.entries()) {
    before[index] = 1 + Math.max(0, ...spec.after.map((i) => before[i] ?? 0));
  }
  const rest: number[] = [];
  for (let index = steps.length - 1; index >= 0; index--) {
    const next = steps.flatMap((spec, other) =>
      spec.after.includes(index) ? [rest[other] ?? 0] : []
    );
    rest[index] = 1 + Math.max(0, ...next);
  }
  return { whole: Math.max(...before), rest };
}
