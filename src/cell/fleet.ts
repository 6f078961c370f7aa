/**
 * The workers of the cell, what runs on them, and what each team uses.
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

/** A run that holds room on a worker, from the decision to its reported end. */
export interface Run {
  readonly step: StepRun;
  readonly task: Task;
  readonly number: number;
  readonly worker: FleetWorker;
  readonly amounts: Amounts;
  /** Monotonic milliseconds of the decision. */
  readonly placedMs: number;
  /** Whether it does the whole task, and does not go on from a checkpoint. */
  readonly whole: boolean;
  /** When its worker was told to start it, monotonic milliseconds; `undefined` before that and for runs of a former holder. */
  startedMs: number | undefined;
  /** Time from which a report tells that it lasts longer than expected, monotonic milliseconds. */
  reviewMs: number;
  /** A report asked for after this time that does not show the run proves that it is not there. */
  provableAfterMs: number | undefined;
  /** Whether a report has shown it. */
  seen: boolean;
  /** Whether it is to end. */
  stopping: boolean;
  /** When it was last told to stop, monotonic milliseconds. */
  stopSentMs: number;
  percent: number;
  /** When `percent` last rose, monotonic milliseconds. */
  progressMs: number;
}

/** A worker and what the cell believes of it. */
export interface FleetWorker {
  readonly id: string;
  entry: WorkerEntry | undefined;
  readonly runs: Map<string, Run>;
  used: Amounts;
  /** Part of `used` that does not come free: tasks that last. */
  lasting: Amounts;
  /** The worker's clock less ours, milliseconds; `undefined` before its first report. */
  clockOffsetMs: number | undefined;
  /** When all leases given so far have surely ended, monotonic milliseconds. */
  leaseBoundMs: number;
  /** Highest end that the store holds: it may be forgotten. */
  acknowledged: number;
  /** Highest end that has been handled. */
  handled: number;
  /** Resolves once the store holds all ends handled so far, in their order. */
  saving: Promise<void>;
  bornMs: number | undefined;
  /** Whether the platform lists it. */
  listed: boolean;
  /** Whether its zone is evacuated. */
  evacuated: boolean;
  /** Whether it answered the last call. */
  reachable: boolean;
  /** When its last report was asked for, monotonic milliseconds. */
  reportedMs: number;
  /** When its last report came, monotonic milliseconds. */
  heardMs: number;
  /** Nothing new before this time, monotonic milliseconds. */
  avoidUntilMs: number;
  /** Orders without an answer that are being sent again; nothing new meanwhile. */
  unanswered: number;
  /** Share of failed runs among the last ones, 0 to 1. */
  failureShare: number;
  /** Run time of a task here over that on an average worker of its service: 1.5 takes half as long again. */
  timeFactor: number;
}

/** All workers, with the sums of what is taken. */
export class Fleet {
  readonly workers = new Map<string, FleetWorker>();
  readonly #teams = new Map<string, Amounts>();
  /** The part of it that urgent work takes. */
  readonly #urgent = new Map<string, Amounts>();

  /** A worker by id, made if it is new. */
  open(id: string): FleetWorker {
    const known = this.workers.get(id);
    if (known !== undefined) return known;
    const worker: FleetWorker = {
      id,
      entry: undefined,
      runs: new Map(),
      used: NO_AMOUNTS,
      lasting: NO_AMOUNTS,
      clockOffsetMs: undefined,
      leaseBoundMs: 0,
      acknowledged: 0,
      handled: 0,
      saving: Promise.resolve(),
      bornMs: undefined,
      listed: false,
      evacuated: false,
      reachable: false,
      reportedMs: 0,
      heardMs: -Infinity,
      avoidUntilMs: 0,
      unanswered: 0,
      failureShare: 0,
      timeFactor: 1,
    };
    this.workers.set(id, worker);
    return worker;
  }

  /** Takes room for a run. */
  take(run: Run): void {
    run.worker.runs.set(run.task.id, run);
    change(run, 1);
    this.#changeTeam(run, 1);
  }

  /** Gives the room of a run back; `false` if it held none. */
  release(run: Run): boolean {
    if (run.worker.runs.get(run.task.id) !== run) return false;
    run.worker.runs.delete(run.task.id);
    change(run, -1);
    this.#changeTeam(run, -1);
    return true;
  }

  /** What a team has running, being stopped or on its way. */
  usedBy(team: string): Amounts {
    return this.#teams.get(team) ?? NO_AMOUNTS;
  }

  /** The part of {@linkcode usedBy} that is of the first priority. */
  urgentUsedBy(team: string): Amounts {
    return this.#urgent.get(team) ?? NO_AMOUNTS;
  }

  #changeTeam({ step: { job }, amounts }: Run, times: 1 | -1): void {
    const { team, policy } = job;
    this.#teams.set(team, plus(this.usedBy(team), amounts, times));
    if (policy.priority > 0) return;
    this.#urgent.set(team, plus(this.urgentUsedBy(team), amounts, times));
  }
}

/** Room that is left on a worker. */
export function roomOn(worker: FleetWorker): Amounts {
  const capacity = worker.entry?.capacity ?? NO_AMOUNTS;
  return plus(capacity, worker.used, -1);
}

/** Whether something new may go to a worker now. */
export function takesWork(worker: FleetWorker, nowMs: number): boolean {
  return worker.listed && worker.reachable && worker.entry !== undefined &&
    !worker.entry.draining && !worker.evacuated &&
    worker.clockOffsetMs !== undefined &&
    worker.avoidUntilMs <= nowMs && worker.unanswered === 0;
}

/** Runs on workers of evacuated zones. */
export function runsInEvacuated(fleet: Fleet): number {
  let runs = 0;
  for (const worker of fleet.workers.values()) {
    if (worker.evacuated) runs += worker.runs.size;
  }
  return runs;
}

/** How many more tasks of this size a team may have running. */
export function teamAllowance(
  team: Team | undefined,
  used: Amounts,
  amounts: Amounts,
): number {
  if (team === undefined) return Infinity;
  const { limit } = team;
  return Math.min(
    share(limit.cpuMillis, used.cpuMillis, amounts.cpuMillis),
    share(limit.memoryMib, used.memoryMib, amounts.memoryMib),
    share(limit.accelerators, used.accelerators, amounts.accelerators),
  );
}

/** How many tasks of this size fit into a room. */
export function tasksIn(room: Amounts, amounts: Amounts): number {
  if (!fits(amounts, room)) return 0;
  return Math.min(
    parts(room.cpuMillis, amounts.cpuMillis),
    parts(room.memoryMib, amounts.memoryMib),
    parts(room.accelerators, amounts.accelerators),
  );
}

/** What a step takes of a worker's capacity: backfilling tasks take no processors. */
export function weighsOn(step: StepRun): Amounts {
  const { amounts, backfill } = step.spec;
  return backfill ? { ...amounts, cpuMillis: 0 } : amounts;
}

function change({ worker, step }: Run, times: 1 | -1): void {
  const amounts = weighsOn(step);
  worker.used = plus(worker.used, amounts, times);
  if (!step.spec.longRunning) return;
  worker.lasting = plus(worker.lasting, amounts, times);
}

function share(limit: number, used: number, each: number): number {
  if (limit === 0 || each === 0) return Infinity;
  return Math.max(0, Math.floor((limit - used) / each));
}

function parts(room: number, each: number): number {
  return each === 0 ? Infinity : Math.floor(room / each);
}
