/**
 * What the parts of a cell share for the time of one holder.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { Fleet } from "./fleet.ts";
import {
  type EndedJob,
  isOver,
  isReady,
  type Job,
  stateOf,
  type StepRun,
} from "./job.ts";
import type { JobLog } from "./job_log.ts";
import type { LostAnswers } from "./decisions/looks.ts";
import type { Forecasts } from "./decisions/forecasts.ts";
import type { RunTimes } from "./decisions/run_times.ts";
import type { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import type { WorkerOrders } from "./ports.ts";
import type { Saved } from "./write_batch.ts";
import { queueNamed, teamNamed } from "./set_index.ts";
import type { ClusterSet, Queue, Team } from "./types.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** State and tools of one holder of the cell. */
export interface CellContext {
  /** Number of this holder; workers refuse orders of lower ones. */
  readonly fence: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly orders: WorkerOrders;
  readonly jobLog: JobLog;
  readonly fleet: Fleet;
  readonly runTimes: RunTimes;
  readonly workerSpeeds: WorkerSpeeds;
  readonly forecasts: Forecasts;
  readonly lostAnswers: LostAnswers;
  readonly jobs: Map<string, Job>;
  readonly ended: Map<string, EndedJob>;
  /** Steps with tasks that wait and may start. */
  readonly open: Set<StepRun>;
  /** The operators' set in force. */
  readonly set: () => ClusterSet;
  readonly evacuations: ZoneEvacuations;
  /** Longest lease that a worker gives, milliseconds. */
  readonly maxLeaseMs: number;
  /** Whether orders may be given: the hold on the cell was confirmed lately. */
  readonly holds: () => boolean;
  /** Somebody else holds the cell. */
  readonly deposed: (why: string) => void;
  /** Asks for a scheduling pass soon. */
  readonly kick: () => void;
}

/** The queue of a job: as the set has it, else as it was at acceptance. */
export function queueOf(context: CellContext, job: Job): Queue {
  return queueNamed(context.set(), job.queue) ?? job.policy;
}

/** The team of a job; `undefined` if the set has none of that name. */
export function teamOf(context: CellContext, job: Job): Team | undefined {
  return teamNamed(context.set(), job.team);
}

/** Puts a step into the line or takes it out. */
export function reviewStep(context: CellContext, step: StepRun): void {
  const wanted = !isOver(step.job) && isReady(step) &&
    (step.spec.gang
      ? step.tasks.every((task) => task.phase === "waiting")
      : step.tasks.some((task) => task.phase === "waiting"));
  if (wanted) {
    context.open.add(step);
    step.waits.begin(context.clock.monotonic());
    context.kick();
  } else context.open.delete(step);
}

/** {@linkcode reviewStep} for every step of a job. */
export function reviewJob(context: CellContext, job: Job): void {
  for (const steps of job.occurrences.values()) {
    for (const step of steps) reviewStep(context, step);
  }
}

/** Writes a job and shows its clients the state that is written. */
export async function persist(
  context: CellContext,
  job: Job,
  options: { readonly submission?: boolean; readonly withinMs?: number } = {},
): Promise<Saved> {
  const state = stateOf(job);
  const saved = await context.jobLog.save(job, options);
  if (saved === "saved" && !hasEnded(job)) job.shown = state;
  return saved;
}

function hasEnded(job: Job): boolean {
  return job.shown !== "pending" && job.shown !== "running";
}
