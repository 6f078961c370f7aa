/**
 * Restores the jobs of earlier terms when an instance becomes the leader.
 *
 * @module
 */
import { okAsync, ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Entry } from "../ports/store.ts";
import { type CellContext, saveJob, updateBacklogOfJob } from "./context.ts";
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

/** The jobs as earlier leaders stored them. */
export interface StoredJobs {
  /** Jobs that have not ended, by id. */
  readonly jobs: ReadonlyMap<string, Job>;
  readonly ended: ReadonlyMap<string, EndedJob>;
  /** Store revisions of the progress and end records, by job id. */
  readonly revisions: ReadonlyMap<string, number>;
}

/** Reads all jobs. This instance's term must have begun before, so that no other leader can write jobs meanwhile. */
export function readStoredJobs(
  store: CellStore,
  log: Log,
): ResultAsync<StoredJobs, StoreFailure> {
  return ResultAsync.combine([
    store.list(JOBS_PREFIX),
    store.list(PROGRESS_PREFIX),
  ]).andThen(([jobs, progress]) =>
    okAsync(decodeStoredJobs(jobs.entries, { progress: progress.entries, log }))
  );
}

/**
 * Adds the stored jobs to the context. Runs that were assigned to a worker keep
 * their capacity reserved until a report of the worker shows what became of them.
 */
export function restoreJobs(
  { fleet, clock, jobs, ended, jobLog, maxLeaseMs }: CellContext,
  storedJobs: StoredJobs,
  { maxIsolatedLeaderMs }: {
    /** Longest time for which a former leader that is cut off may renew leases, milliseconds. */
    readonly maxIsolatedLeaderMs: number;
  },
): void {
  const nowMs = clock.monotonic();
  for (const [id, revision] of storedJobs.revisions) {
    jobLog.setRevision(id, revision);
  }
  for (const [id, end] of storedJobs.ended) ended.set(id, end);
  for (const [id, job] of storedJobs.jobs) {
    jobs.set(id, job);
    job.visibleState = stateOf(job);
    for (const step of [...job.occurrences.values()].flat()) {
      for (const task of step.tasks) {
        if (task.phase !== "assigned") continue;
        const worker = fleet.getOrCreate(task.worker);
        worker.leaseBoundMs = nowMs + maxIsolatedLeaderMs +
          leaseBoundMs(maxLeaseMs);
        const run = newRun(step, { task, worker, nowMs });
        // The run was assigned in an earlier term. Any report requested in this
        // term is newer, so a run that it does not list has been lost.
        run.absenceProvableAfterMs = nowMs;
        fleet.addRun(run);
      }
    }
  }
}

/**
 * Resumes the restored jobs: adds the steps that may start to the backlog, and
 * stops the runs of incomplete gangs, as the former leader would have. For jobs
 * that have ended, stops their remaining runs and writes their end records.
 */
export function resumeRestoredJobs(context: CellContext, runs: Runs): void {
  for (const job of context.jobs.values()) {
    for (const steps of job.occurrences.values()) {
      for (const step of steps) runs.stopIfIncomplete(step);
    }
    updateBacklogOfJob(context, job);
    if (stateOf(job) === "pending" || stateOf(job) === "running") continue;
    runs.stopJob(job);
    void saveJob(context, job);
  }
}

function decodeStoredJobs(
  submissions: readonly Entry[],
  { progress, log }: { readonly progress: readonly Entry[]; readonly log: Log },
): StoredJobs {
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
