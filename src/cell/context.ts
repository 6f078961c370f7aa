/**
 * State and services that the parts of a cell share during one leader's term.
 *
 * @module
 */
import { describeThrown } from "../errors.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { Fleet } from "./fleet.ts";
import {
  type EndedJob,
  isFinished,
  isReady,
  type Job,
  stateOf,
  type StepRun,
} from "./job.ts";
import type { JobLog } from "./job_log.ts";
import type { PollWait } from "./decisions/poll_wait.ts";
import type { ForecastAccuracy } from "./decisions/forecast_accuracy.ts";
import type { RunTimes } from "./decisions/run_times.ts";
import type { WorkerSpeeds } from "./decisions/worker_speeds.ts";
import type { WorkerClient } from "./ports.ts";
import type { SaveResult } from "./transaction_batch.ts";
import { findQueue, findTeam } from "./set_index.ts";
import type { ClusterSet, Queue, Team } from "./types.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** State and services of one leader of the cell. */
export interface CellContext {
  /**
   * Fencing token of this leader's term. Workers reject requests with a lower
   * one than they have seen.
   */
  readonly fence: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly workerClient: WorkerClient;
  readonly jobLog: JobLog;
  readonly fleet: Fleet;
  readonly runTimes: RunTimes;
  readonly workerSpeeds: WorkerSpeeds;
  readonly forecasts: ForecastAccuracy;
  readonly lostAnswers: PollWait;
  readonly jobs: Map<string, Job>;
  readonly ended: Map<string, EndedJob>;
  /** The backlog: steps with waiting tasks that may start. */
  readonly backlog: Set<StepRun>;
  /** The active set of the operators; `undefined` while this instance has none. */
  readonly set: () => ClusterSet | undefined;
  readonly evacuations: ZoneEvacuations;
  /** Longest lease that a worker accepts, milliseconds. */
  readonly maxLeaseMs: number;
  /**
   * Whether this leader may still send requests to workers: its leadership was
   * confirmed recently.
   */
  readonly isLeading: () => boolean;
  /**
   * Ends the term: another instance turns out to be the leader, or a part of the
   * leader's work has failed. Without effect after the end of the term.
   */
  readonly stepDown: (reason: string) => void;
  /** Requests a scheduling pass. */
  readonly requestPass: () => void;
}

/**
 * Runs a part of the leader's work, and ends the term if it fails: the state in
 * memory may be incomplete, and a loop that has ended without notice would leave
 * work waiting. The next leader, which may be this process, reads the state from
 * the store. Resolves to `undefined` after a failure.
 */
export async function endTermOnFailure<A>(
  { log, fence, stepDown }: Pick<CellContext, "log" | "fence" | "stepDown">,
  part: string,
  work: () => A | PromiseLike<A>,
): Promise<A | undefined> {
  try {
    return await work();
  } catch (error) {
    const reason = describeThrown(error);
    log.error("leader.failed", { fence, part, reason });
    stepDown(`a failure of the ${part}`);
    return undefined;
  }
}

/**
 * Definition of a job's queue in the active operator set; if the queue is
 * absent from the set, its definition when the job was accepted.
 */
export function queueOf(context: CellContext, job: Job): Queue {
  const set = context.set();
  return (set && findQueue(set, job.queue)) ?? job.policy;
}

/** Team of a job; `undefined` if the active set has none of that name, or there is no set. */
export function teamOf(context: CellContext, job: Job): Team | undefined {
  const set = context.set();
  return set && findTeam(set, job.team);
}

/**
 * Adds a step to the backlog or removes it, depending on whether tasks of it
 * may start. A gang may start only when all its tasks wait.
 */
export function updateBacklog(context: CellContext, step: StepRun): void {
  const isSchedulable = !isFinished(step.job) && isReady(step) &&
    (step.spec.gang
      ? step.tasks.every((task) => task.phase === "waiting")
      : step.tasks.some((task) => task.phase === "waiting"));
  if (isSchedulable) {
    context.backlog.add(step);
    step.waits.begin(context.clock.monotonic());
    context.requestPass();
  } else context.backlog.delete(step);
}

/** Calls {@linkcode updateBacklog} for every step of a job. */
export function updateBacklogOfJob(context: CellContext, job: Job): void {
  for (const steps of job.occurrences.values()) {
    for (const step of steps) updateBacklog(context, step);
  }
}

/**
 * Records a job in the store, then makes the recorded state visible to clients.
 * `withinMs`: how long the write may wait for further changes of the job,
 * milliseconds.
 */
export async function saveJob(
  context: CellContext,
  job: Job,
  options: { readonly submission?: boolean; readonly withinMs?: number } = {},
): Promise<SaveResult> {
  const state = stateOf(job);
  const saved = await context.jobLog.save(job, options);
  if (saved === "saved" && !isEndVisible(job)) job.visibleState = state;
  return saved;
}

function isEndVisible(job: Job): boolean {
  return job.visibleState !== "pending" && job.visibleState !== "running";
}
