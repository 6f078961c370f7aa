/**
 * Takes up the jobs that the store holds for a new holder of the cell.
 *
 * @module
 */
import { okAsync, ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Entry } from "../ports/store.ts";
import { type CellContext, persist, reviewJob } from "./context.ts";
import { type EndedJob, type Job, stateOf } from "./job.ts";
import type { CellStore } from "./ports.ts";
import {
  decodeEnd,
  decodeSubmission,
  JOBS_PREFIX,
  PROGRESS_PREFIX,
  restoreProgress,
} from "./records.ts";
import { leaseBoundMs, newRun } from "./run.ts";
import type { Runs } from "./runs.ts";

/** What a former holder left. */
export interface Legacy {
  readonly jobs: ReadonlyMap<string, Job>;
  readonly ended: ReadonlyMap<string, EndedJob>;
  /** Revisions of the progress of jobs, ended ones too. */
  readonly revisions: ReadonlyMap<string, number>;
}

/** Reads all jobs. The cell must be taken before, so that nobody writes meanwhile. */
export function readLegacy(
  store: CellStore,
  log: Log,
): ResultAsync<Legacy, StoreFailure> {
  return ResultAsync.combine([
    store.list(JOBS_PREFIX),
    store.list(PROGRESS_PREFIX),
  ]).andThen(([jobs, progress]) =>
    okAsync(assemble(jobs.entries, { progress: progress.entries, log }))
  );
}

/** Takes jobs over, with the room of their runs until reports settle them. */
export function adopt(
  { fleet, clock, jobs, ended, jobLog, maxLeaseMs }: CellContext,
  legacy: Legacy,
  { holdLimitMs }: {
    /** Longest time for which a former holder that hears nobody renews leases, milliseconds. */
    readonly holdLimitMs: number;
  },
): void {
  const nowMs = clock.monotonic();
  for (const [id, revision] of legacy.revisions) jobLog.know(id, revision);
  for (const [id, end] of legacy.ended) ended.set(id, end);
  for (const [id, job] of legacy.jobs) {
    jobs.set(id, job);
    job.shown = stateOf(job);
    for (const step of [...job.occurrences.values()].flat()) {
      for (const task of step.tasks) {
        if (task.phase !== "assigned") continue;
        const worker = fleet.open(task.worker);
        worker.leaseBoundMs = nowMs + holdLimitMs + leaseBoundMs(maxLeaseMs);
        const run = newRun(step, { task, worker, nowMs });
        // It was recorded before: a report under this fence settles it.
        run.provableAfterMs = nowMs;
        fleet.take(run);
      }
    }
  }
}

/** Puts what may start into the line, and ends what a former holder knew to be over. */
export function reviewAdopted(context: CellContext, runs: Runs): void {
  for (const job of context.jobs.values()) {
    reviewJob(context, job);
    if (stateOf(job) === "pending" || stateOf(job) === "running") continue;
    runs.stopJob(job);
    void persist(context, job);
  }
}

function assemble(
  submissions: readonly Entry[],
  { progress, log }: { readonly progress: readonly Entry[]; readonly log: Log },
): Legacy {
  const jobs = new Map<string, Job>();
  const ended = new Map<string, EndedJob>();
  const revisions = new Map<string, number>();
  for (const entry of submissions) {
    const id = entry.key.slice(JOBS_PREFIX.length);
    const job = decodeSubmission(id, entry.value);
    if (job === undefined) log.error("recovery.unreadable", { key: entry.key });
    else jobs.set(id, job);
  }
  for (const entry of progress) {
    const id = entry.key.slice(PROGRESS_PREFIX.length);
    revisions.set(id, entry.revision);
    const job = jobs.get(id);
    const end = decodeEnd(id, entry.value);
    if (end !== undefined) {
      ended.set(id, end);
      jobs.delete(id);
    } else if (job === undefined || !restoreProgress(job, entry.value)) {
      log.error("recovery.unreadable", { key: entry.key });
    }
  }
  return { jobs, ended, revisions };
}
