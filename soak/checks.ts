/**
 * Checks the guarantees of a cell against the records of clients and workers.
 *
 * @module
 */
import { queueOfJob, QUEUES } from "../platform/standins/site_settings.ts";
import type { RecordedRun } from "../platform/standins/worker_server.ts";
import { findIdleJobs, type IdleOptions } from "./idle.ts";

/** Shape of one step of a job. The steps of a job run one after the other. */
export interface StepShape {
  readonly tasks: number;
  readonly gang: boolean;
  /** Maximum number of its tasks on one worker; default: no limit. */
  readonly maxPerWorker?: number;
}

/** Submission as its client saw it. */
export interface ClientJob {
  readonly id: string;
  readonly steps: readonly StepShape[];
  /** HTTP status of each try; 0 for a broken connection. */
  readonly statuses: number[];
  canceled: boolean;
  /** When the submission was acknowledged, Unix milliseconds; `undefined` if it was not. */
  acceptedMs?: number;
  /** Last state that a daemon reported; empty if none has. */
  state: string;
}

/** Number of waiting jobs of the first queue that a daemon gave a client. */
export interface WaitingAnswer {
  readonly daemon: string;
  readonly waiting: number;
  /** When the client sent the request and received the response, Unix milliseconds. */
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** Violated guarantee. */
export interface Finding {
  /**
   * `lost`: an accepted job is not done. `twice`: a task ran twice. `refused`: a
   * refused job ran. `overfilled`: a worker had more runs than fit. `canceled` and
   * `evacuated`: a run started too late after the cancelation or evacuation.
   * `miscounted`: a daemon gave less than half of the waiting jobs. `idle`: an
   * accepted job had nothing running beside room for it.
   */
  readonly promise:
    | "lost"
    | "twice"
    | "refused"
    | "overfilled"
    | "canceled"
    | "evacuated"
    | "miscounted"
    | "idle";
  readonly about: string;
}

/** Time after the response to a cancelation from which no task of the job may start, milliseconds; source: the platform's pages. */
const MAX_CANCEL_DELAY_MS = 3_000;

/** Age from which a waiting job must be counted, milliseconds; source: the platform's pages. */
const COUNTED_AFTER_MS = 5_000;

/** Time after the response to an evacuation request from which no task may start in the zone, milliseconds: the bound plus its extension while the store is unstable. */
const MAX_EVACUATION_DELAY_MS = 5_000 + 6_000;

/** Period in which a zone was evacuated. */
export interface EvacuationPeriod {
  /** Ids of the workers in the zone. */
  readonly workers: ReadonlySet<string>;
  /** When the evacuation was acknowledged, Unix milliseconds. */
  readonly fromMs: number;
  /** When the evacuation was withdrawn, Unix milliseconds. */
  untilMs: number;
}

/** Checks all guarantees and returns the violations. */
export function check(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
  options: {
    /** Maximum number of runs that fit on a worker at once. */
    readonly runsPerWorker: number;
    /** When cancelations were acknowledged, Unix milliseconds, by job. */
    readonly canceledMs: ReadonlyMap<string, number>;
    readonly evacuated?: readonly EvacuationPeriod[];
    readonly waitingAnswers?: readonly WaitingAnswer[];
    readonly idle?: Omit<IdleOptions, "runsPerWorker">;
  },
): readonly Finding[] {
  const { runsPerWorker, idle } = options;
  const idleJobs = idle === undefined
    ? []
    : findIdleJobs(jobs, record, { ...idle, runsPerWorker });
  return [
    ...idleJobs.map(({ about }) => ({ promise: "idle" as const, about })),
    ...findLostJobs(jobs),
    ...findDuplicateRuns(record),
    ...findRefusedJobsThatRan(jobs, record),
    ...findOverfilledWorkers(record, options.runsPerWorker),
    ...findStartsAfterCancelation(record, options.canceledMs),
    ...findStartsInEvacuatedZones(record, options.evacuated ?? []),
    ...findMiscounts(jobs, record, options.waitingAnswers ?? []),
  ];
}

/** Finds answers with less than half of the jobs that had waited for long and were still waiting afterwards. */
function findMiscounts(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
  answers: readonly WaitingAnswer[],
): readonly Finding[] {
  const firstStartMs = new Map<string, number>();
  for (const { task, startedMs } of record) {
    const id = task.split(".")[0] ?? "";
    const earliestMs = Math.min(firstStartMs.get(id) ?? Infinity, startedMs);
    firstStartMs.set(id, earliestMs);
  }
  return answers.flatMap(({ daemon, waiting, sentMs, receivedMs }) => {
    const expected = jobs.filter(({ id, acceptedMs, canceled }) =>
      queueOfJob(id) === QUEUES[0] && !canceled &&
      (acceptedMs ?? Infinity) < sentMs - COUNTED_AFTER_MS &&
      (firstStartMs.get(id) ?? Infinity) > receivedMs
    ).length;
    return 2 * waiting < expected
      ? [{
        promise: "miscounted" as const,
        about: `${daemon} gave ${waiting} waiting jobs at ${sentMs}; ` +
          `${expected} had waited for long`,
      }]
      : [];
  });
}

function findStartsInEvacuatedZones(
  record: readonly RecordedRun[],
  zones: readonly EvacuationPeriod[],
): readonly Finding[] {
  return zones.flatMap(({ workers, fromMs, untilMs }) =>
    record
      .filter(({ worker, startedMs }) =>
        workers.has(worker) && startedMs > fromMs + MAX_EVACUATION_DELAY_MS &&
        startedMs < untilMs
      )
      .map(({ task, run, worker, startedMs }): Finding => ({
        promise: "evacuated",
        about: `${task} run ${run} on ${worker} started ` +
          `${startedMs - fromMs} ms after the request`,
      }))
  );
}

/** Finds tasks with overlapping runs, or with a run after an acknowledged completion. */
export function findDuplicateRuns(
  record: readonly RecordedRun[],
): readonly Finding[] {
  return [...groupByTask(record).values()].flatMap((runs) =>
    runs.flatMap((run) =>
      runs.filter((other) => isDuplicate(run, other)).map((other): Finding => ({
        promise: "twice",
        about: `${run.task} run ${run.run} on ${run.worker} and run ` +
          `${other.run} on ${other.worker}`,
      }))
    )
  );
}

function isDuplicate(run: RecordedRun, other: RecordedRun): boolean {
  if (run === other || other.startedMs < run.startedMs) return false;
  const at = run.endedMs ?? Infinity;
  if (other.startedMs < at) return true;
  return run.completionKind === "done" && run.acknowledged === true;
}

function findLostJobs(jobs: readonly ClientJob[]): readonly Finding[] {
  return jobs
    .filter((job) => job.statuses.includes(200) && !job.canceled)
    .filter((job) => job.state !== "done")
    .map((job) => ({
      promise: "lost",
      about: `${job.id} is ${job.state || "unknown"}`,
    }));
}

function findRefusedJobsThatRan(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
): readonly Finding[] {
  const ran = new Set(record.map((run) => run.task.split(".")[0]));
  return jobs
    .filter((job) => job.statuses.every((status) => status === 503))
    .filter((job) => ran.has(job.id))
    .map((job) => ({ promise: "refused", about: `${job.id} ran` }));
}

function findOverfilledWorkers(
  record: readonly RecordedRun[],
  runsPerWorker: number,
): readonly Finding[] {
  return record.flatMap((run) => {
    const concurrent = record.filter((other) =>
      other.worker === run.worker && other.startedMs <= run.startedMs &&
      (other.endedMs ?? Infinity) > run.startedMs
    );
    return concurrent.length > runsPerWorker
      ? [{
        promise: "overfilled" as const,
        about: `${run.worker} has ${concurrent.length} runs`,
      }]
      : [];
  });
}

function findStartsAfterCancelation(
  record: readonly RecordedRun[],
  canceledMs: ReadonlyMap<string, number>,
): readonly Finding[] {
  return record.flatMap((run) => {
    const atMs = canceledMs.get(run.task.split(".")[0] ?? "") ?? Infinity;
    return run.startedMs > atMs + MAX_CANCEL_DELAY_MS
      ? [{
        promise: "canceled" as const,
        about: `${run.task} started after its cancelation`,
      }]
      : [];
  });
}

function groupByTask(
  record: readonly RecordedRun[],
): Map<string, readonly RecordedRun[]> {
  const byTask = new Map<string, RecordedRun[]>();
  for (const run of record) {
    const runs = byTask.get(run.task) ?? [];
    runs.push(run);
    byTask.set(run.task, runs);
  }
  return byTask;
}
