/**
 * Workers of the cell, their runs, and the capacity that each team uses.
 *
 * @module
 */
import type { StepRun, Task } from "./job.ts";
import {
  type Amounts,
  fits,
  NO_AMOUNTS,
  plus,
  type Team,
  type WorkerEntry,
} from "./types.ts";

/**
 * A run that takes capacity on a worker, from its placement to its reported
 * completion.
 */
export interface Run {
  readonly step: StepRun;
  readonly task: Task;
  readonly number: number;
  readonly worker: FleetWorker;
  readonly amounts: Amounts;
  /** When the run was placed, monotonic milliseconds. */
  readonly placedMs: number;
  /**
   * Whether the run does the whole task instead of resuming from a checkpoint.
   */
  readonly fromScratch: boolean;
  /**
   * When the run started, monotonic milliseconds: the time of the start request
   * until the response arrives, then the middle between the two. `undefined` if
   * the run time cannot be measured: before the request, if the time of the
   * start or the completion is uncertain, and for runs of a former leader.
   */
  startedMs: number | undefined;
  /**
   * When to check next whether the run takes longer than expected, monotonic
   * milliseconds. The check follows the first report after this time.
   */
  nextReviewMs: number;
  /**
   * If a report was requested after this time, monotonic milliseconds, and does
   * not list the run, the run is not on the worker.
   */
  absenceProvableAfterMs: number | undefined;
  /**
   * Whether a start request of this leader has had no response, or is on its
   * way. The next process of the worker may still carry it out.
   */
  startUnanswered: boolean;
  /** Whether a report has shown the run. */
  seen: boolean;
  /** Whether the run is to be stopped. */
  stopping: boolean;
  /** When the last stop request was sent, monotonic milliseconds. */
  stopSentMs: number;
  percent: number;
  /** When `percent` last rose, monotonic milliseconds. */
  lastProgressMs: number;
}

/** A worker and its state as far as the leader knows it. */
export interface FleetWorker {
  readonly id: string;
  entry: WorkerEntry | undefined;
  readonly runs: Map<string, Run>;
  used: Amounts;
  /**
   * Part of `used` that is taken by long-running tasks and so does not become
   * free.
   */
  usedByLongRunning: Amounts;
  /**
   * The worker's clock minus the local monotonic clock, milliseconds;
   * `undefined` before its first report.
   */
  clockOffsetMs: number | undefined;
  /**
   * When all leases granted so far have certainly ended, monotonic
   * milliseconds.
   */
  leaseBoundMs: number;
  /**
   * Highest completion number that the store has recorded. The worker may
   * forget completions up to it.
   */
  acknowledged: number;
  /** Highest completion number that has been applied. */
  applied: number;
  /**
   * Resolves once the store has recorded all completions applied so far, in
   * their order.
   */
  completionsSaved: Promise<void>;
  processStartMs: number | undefined;
  /**
   * When the first report of the worker's current process was received,
   * monotonic milliseconds.
   */
  processSeenMs: number;
  /** Whether the platform lists the worker. */
  listed: boolean;
  /** Whether the zone of the worker is evacuated. */
  evacuated: boolean;
  /** Whether the worker answered the last poll. */
  reachable: boolean;
  /** When the last report was requested, monotonic milliseconds. */
  reportRequestedMs: number;
  /** When the last report was received, monotonic milliseconds. */
  reportReceivedMs: number;
  /** The worker gets no new runs before this time, monotonic milliseconds. */
  avoidUntilMs: number;
  /**
   * Start requests without a response that are being retried. The worker gets
   * no new runs meanwhile.
   */
  unansweredStarts: number;
  /** Exponentially weighted share of failed runs, 0 to 1. */
  failureShare: number;
  /**
   * Run time on this worker relative to an average worker of its service: with
   * 1.5, runs take one and a half times as long.
   */
  timeFactor: number;
}

/** All workers, with the total use of each team. */
export class Fleet {
  readonly workers = new Map<string, FleetWorker>();
  readonly #usedByTeam = new Map<string, Amounts>();
  /** Part of `#usedByTeam` that runs of the first priority use. */
  readonly #urgentUsedByTeam = new Map<string, Amounts>();

  /** Returns the worker with this id, creating it if it is new. */
  getOrCreate(id: string): FleetWorker {
    const known = this.workers.get(id);
    if (known !== undefined) return known;
    const worker: FleetWorker = {
      id,
      entry: undefined,
      runs: new Map(),
      used: NO_AMOUNTS,
      usedByLongRunning: NO_AMOUNTS,
      clockOffsetMs: undefined,
      leaseBoundMs: 0,
      acknowledged: 0,
      applied: 0,
      completionsSaved: Promise.resolve(),
      processStartMs: undefined,
      processSeenMs: -Infinity,
      listed: false,
      evacuated: false,
      reachable: false,
      reportRequestedMs: 0,
      reportReceivedMs: -Infinity,
      avoidUntilMs: 0,
      unansweredStarts: 0,
      failureShare: 0,
      timeFactor: 1,
    };
    this.workers.set(id, worker);
    return worker;
  }

  /** Adds a run to its worker and counts its capacity as used. */
  addRun(run: Run): void {
    run.worker.runs.set(run.task.id, run);
    adjustWorkerUse(run, 1);
    this.#adjustTeamUse(run, 1);
  }

  /**
   * Removes a run from its worker and frees its capacity. Returns `false` if
   * the worker does not have the run.
   */
  removeRun(run: Run): boolean {
    if (run.worker.runs.get(run.task.id) !== run) return false;
    run.worker.runs.delete(run.task.id);
    adjustWorkerUse(run, -1);
    this.#adjustTeamUse(run, -1);
    return true;
  }

  /**
   * Amounts used by all runs of a team, including those being started or
   * stopped.
   */
  usedBy(team: string): Amounts {
    return this.#usedByTeam.get(team) ?? NO_AMOUNTS;
  }

  /** Part of {@linkcode usedBy} that runs of the first priority use. */
  urgentUsedBy(team: string): Amounts {
    return this.#urgentUsedByTeam.get(team) ?? NO_AMOUNTS;
  }

  #adjustTeamUse({ step: { job }, amounts }: Run, sign: 1 | -1): void {
    const { team, policy } = job;
    this.#usedByTeam.set(team, plus(this.usedBy(team), amounts, sign));
    if (policy.priority > 0) return;
    this.#urgentUsedByTeam.set(
      team,
      plus(this.urgentUsedBy(team), amounts, sign),
    );
  }
}

/** Free capacity of a worker. */
export function freeCapacityOf(worker: FleetWorker): Amounts {
  const capacity = worker.entry?.capacity ?? NO_AMOUNTS;
  return plus(capacity, worker.used, -1);
}

/** Whether a worker can get new runs now. `nowMs`: monotonic milliseconds. */
export function acceptsRuns(worker: FleetWorker, nowMs: number): boolean {
  return worker.listed && worker.reachable && worker.entry !== undefined &&
    !worker.entry.draining && !worker.evacuated &&
    worker.clockOffsetMs !== undefined &&
    worker.avoidUntilMs <= nowMs && worker.unansweredStarts === 0;
}

/** Number of runs on workers of evacuated zones. */
export function runsInEvacuatedZones(fleet: Fleet): number {
  let runs = 0;
  for (const worker of fleet.workers.values()) {
    if (worker.evacuated) runs += worker.runs.size;
  }
  return runs;
}

/** How many more tasks of this size a team may run within its limit. */
export function teamAllowance(
  team: Team | undefined,
  used: Amounts,
  perTask: Amounts,
): number {
  if (team === undefined) return Infinity;
  const { limit } = team;
  return Math.min(
    tasksWithinLimit(limit.cpuMillis, used.cpuMillis, perTask.cpuMillis),
    tasksWithinLimit(limit.memoryMib, used.memoryMib, perTask.memoryMib),
    tasksWithinLimit(
      limit.accelerators,
      used.accelerators,
      perTask.accelerators,
    ),
  );
}

/** How many tasks of this size fit into the available amounts. */
export function tasksThatFit(available: Amounts, perTask: Amounts): number {
  if (!fits(perTask, available)) return 0;
  return Math.min(
    tasksPerDimension(available.cpuMillis, perTask.cpuMillis),
    tasksPerDimension(available.memoryMib, perTask.memoryMib),
    tasksPerDimension(available.accelerators, perTask.accelerators),
  );
}

/**
 * Amounts that a task of a step takes from a worker's capacity. Backfilling
 * tasks are not charged for processors.
 */
export function chargedAmounts(step: StepRun): Amounts {
  const { amounts, backfill } = step.spec;
  return backfill ? { ...amounts, cpuMillis: 0 } : amounts;
}

function adjustWorkerUse({ worker, step }: Run, sign: 1 | -1): void {
  const amounts = chargedAmounts(step);
  worker.used = plus(worker.used, amounts, sign);
  if (!step.spec.longRunning) return;
  worker.usedByLongRunning = plus(worker.usedByLongRunning, amounts, sign);
}

function tasksWithinLimit(
  limit: number,
  used: number,
  perTask: number,
): number {
  if (limit === 0 || perTask === 0) return Infinity;
  return Math.max(0, Math.floor((limit - used) / perTask));
}

function tasksPerDimension(available: number, perTask: number): number {
  return perTask === 0 ? Infinity : Math.floor(available / perTask);
}
