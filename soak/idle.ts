/**
 * Finds accepted jobs that had nothing running although a task could run.
 *
 * The record of a run is cut into short ticks. A tick counts for a job if all of
 * it is calm, nothing of the job runs, and the workers that may run its current
 * step have room.
 *
 * @module
 */
import { queueOfJob } from "../platform/standins/site_settings.ts";
import type { RecordedRun } from "../platform/standins/worker_server.ts";
import type { ClientJob, StepShape } from "./checks.ts";

/** Period in which a fault of the soak was in effect, Unix milliseconds. */
export interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Worker that does not count as room meanwhile; without one, no job counts as idle. */
  readonly worker?: string;
  /** Whether the worker cannot report the ends of its runs, so that their jobs may wait for it. */
  readonly isSilent?: boolean;
}

/** What the check knows about the site. */
export interface IdleOptions {
  readonly workers: readonly string[];
  /** Number of runs that fit on a worker at once. */
  readonly runsPerWorker: number;
  /** Whether a worker may run a step, named `JOB.OCCURRENCE.STEP`. */
  readonly allows: (step: string, worker: string) => boolean;
  readonly disturbances: readonly Disturbance[];
  /** End of the record, Unix milliseconds. */
  readonly untilMs: number;
}

/** A job that was idle for too long. */
export interface IdleJob {
  readonly id: string;
  readonly about: string;
}

/** Longest time for which nothing of a job may run beside room, milliseconds; source: the "still" case of LOST in the platform's rules, 3 s that are calm. */
const MAX_IDLE_MS = 3_000;
/** How long a disturbance counts after its end, milliseconds; source: the same rule, the 4 s before must be calm too. */
const CALM_BEFORE_MS = 4_000;
/** Multiple of a step's need that must be free; source: the same rule, "capacity for it twice over". */
const ROOM_FACTOR = 2;
/** Part of a team's limit below which the team must be; source: the same rule. */
const TEAM_SHARE = 0.5;
const TICK_MS = 100;

/** Returns the jobs that were idle for longer than allowed, each once. */
export function findIdleJobs(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
  options: IdleOptions,
): readonly IdleJob[] {
  const accepted = jobs.filter(({ acceptedMs, canceled }) =>
    acceptedMs !== undefined && !canceled
  );
  const fromMs = Math.min(...accepted.map((job) => job.acceptedMs!));
  const ticks = new Ticks(fromMs, options.untilMs);
  for (const run of record) countRun(ticks, run);
  for (const { worker, fromMs, untilMs, isSilent } of options.disturbances) {
    const period = { fromMs, untilMs: untilMs + CALM_BEFORE_MS };
    ticks.add(away(worker), period);
    if (isSilent && worker !== undefined) ticks.add(silent(worker), period);
  }
  return accepted.flatMap((job) => findIdle(job, { ticks, record, options }));
}

/** What is counted for each tick. */
const away = (worker: string | undefined) => `away ${worker ?? "all"}`;
const silent = (worker: string) => `silent ${worker}`;
const runsOf = (owner: string) => `runs ${owner}`;

function countRun(ticks: Ticks, run: RecordedRun): void {
  const period = { fromMs: run.startedMs, untilMs: run.endedMs ?? Infinity };
  const id = jobOf(run.task);
  const team = queueOfJob(id).team?.name;
  for (const owner of [id, run.worker, ...(team === undefined ? [] : [team])]) {
    ticks.add(runsOf(owner), period);
  }
}

function findIdle(
  job: ClientJob,
  { ticks, record, options }: {
    readonly ticks: Ticks;
    readonly record: readonly RecordedRun[];
    readonly options: IdleOptions;
  },
): readonly IdleJob[] {
  const runs = record.filter(({ task }) => jobOf(task) === job.id);
  const ends = stepEnds(job, runs);
  const allowed = job.steps.map((_, index) =>
    options.workers.filter((worker) =>
      options.allows(`${job.id}.0.${index}`, worker)
    )
  );
  let idleTicks = 0;
  for (let tick = ticks.at(job.acceptedMs!) + 1; tick < ticks.count; tick++) {
    const step = ends.findIndex((endMs) => ticks.at(endMs) >= tick);
    if (step === -1) return [];
    const shape = job.steps[step]!;
    const isIdle = ticks.get(runsOf(job.id), tick) === 0 &&
      ticks.get(away(undefined), tick) === 0 &&
      !runs.some(({ worker, startedMs }) =>
        ticks.at(startedMs) < tick && ticks.get(silent(worker), tick) > 0
      ) &&
      teamHasRoom(job, shape, { ticks, tick }) &&
      freeSlots(shape, allowed[step]!, { ticks, tick, options }) >=
        ROOM_FACTOR * need(shape);
    idleTicks = isIdle ? idleTicks + 1 : 0;
    if (idleTicks * TICK_MS <= MAX_IDLE_MS) continue;
    const sinceMs = ticks.startOf(tick + 1 - idleTicks);
    const from = new Date(sinceMs).toISOString();
    const about = `${job.id} of ${queueOfJob(job.id).name} has nothing ` +
      `running from ${from} on; step ${step} of ${shape.tasks} tasks could ` +
      `run on ${allowed[step]!.join(" ")}`;
    return [{ id: job.id, about }];
  }
  return [];
}

/** When each step of a job had ended, Unix milliseconds; `Infinity` if it has not. */
function stepEnds(
  job: ClientJob,
  runs: readonly RecordedRun[],
): readonly number[] {
  const doneMs = new Map<string, number>();
  for (const { task, completionKind, endedMs = Infinity } of runs) {
    if (completionKind !== "done") continue;
    doneMs.set(task, Math.min(endedMs, doneMs.get(task) ?? Infinity));
  }
  return job.steps.map(({ tasks }, step) =>
    Math.max(
      ...Array.from(
        { length: tasks },
        (_, index) => doneMs.get(`${job.id}.0.${step}.${index}`) ?? Infinity,
      ),
    )
  );
}

/** Number of runs that must start together. */
function need({ gang, tasks }: StepShape): number {
  return gang ? tasks : 1;
}

function teamHasRoom(
  { id }: ClientJob,
  shape: StepShape,
  { ticks, tick }: { readonly ticks: Ticks; readonly tick: number },
): boolean {
  const { team } = queueOfJob(id);
  if (team === undefined) return true;
  const used = ticks.get(runsOf(team.name), tick);
  return used < TEAM_SHARE * team.maxCores &&
    used + need(shape) <= team.maxCores;
}

function freeSlots(
  { maxPerWorker }: StepShape,
  workers: readonly string[],
  { ticks, tick, options }: {
    readonly ticks: Ticks;
    readonly tick: number;
    readonly options: IdleOptions;
  },
): number {
  return workers
    .filter((worker) => ticks.get(away(worker), tick) === 0)
    .map((worker) => options.runsPerWorker - ticks.get(runsOf(worker), tick))
    .reduce((sum, free) => sum + Math.min(free, maxPerWorker ?? Infinity), 0);
}

/** Counts of periods that overlap each tick, by name. */
class Ticks {
  readonly count: number;
  readonly #fromMs: number;
  readonly #counts = new Map<string, Uint16Array>();

  constructor(fromMs: number, untilMs: number) {
    this.#fromMs = fromMs;
    this.count = Math.max(0, Math.floor((untilMs - fromMs) / TICK_MS));
  }

  /** The tick of a time, Unix milliseconds. */
  at(atMs: number): number {
    return Math.floor((atMs - this.#fromMs) / TICK_MS);
  }

  startOf(tick: number): number {
    return this.#fromMs + tick * TICK_MS;
  }

  add(
    name: string,
    { fromMs, untilMs }: Pick<Disturbance, "fromMs" | "untilMs">,
  ): void {
    const counts = this.#counts.get(name) ?? new Uint16Array(this.count);
    this.#counts.set(name, counts);
    const last = Math.min(this.count - 1, this.at(untilMs));
    for (let i = Math.max(0, this.at(fromMs)); i <= last; i++) {
      counts[i] = counts[i]! + 1;
    }
  }

  get(name: string, tick: number): number {
    return this.#counts.get(name)?.[tick] ?? 0;
  }
}

function jobOf(task: string): string {
  return task.split(".")[0] ?? "";
}
