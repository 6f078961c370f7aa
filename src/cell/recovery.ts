/**
 * Takes up the jobs that the store holds for a new holder of the cell.
 *
 * @module
 */
import { okAsync, ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Entry } from "../ports/store.ts";
import type { EndedJob, Job } from "./job.ts";
import type { CellStore } from "./ports.ts";
import {
  decodeEnd,
  decodeSubmission,
  JOBS_PREFIX,
  PROGRESS_PREFIX,
  restoreProgress,
} from "./records.ts";

/** What a former holder left. */
export interface Legacy {
  readonly jobs: ReadonlyMap<string, Job>;
  readonly ended: ReadonlyMap<string, EndedJob>;
}

/** Reads all jobs. The lanes must be taken before, so that nobody writes meanwhile. */
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

function assemble(
  submissions: readonly Entry[],
  { progress, log }: { readonly progress: readonly Entry[]; readonly log: Log },
): Legacy {
  const jobs = new Map<string, Job>();
  const ended = new Map<string, EndedJob>();
  for (const entry of submissions) {
    const id = entry.key.slice(JOBS_PREFIX.length);
    const job = decodeSubmission(id, entry.value);
    if (job === undefined) log.error("recovery.unreadable", { key: entry.key });
    else jobs.set(id, job);
  }
  for (const entry of progress) {
    const id = entry.key.slice(PROGRESS_PREFIX.length);
    const job = jobs.get(id);
    const end = decodeEnd(id, entry.value);
    if (end !== undefined) {
      ended.set(id, end);
      jobs.delete(id);
    } else if (job === undefined || !restoreProgress(job, entry.value)) {
      log.error("recovery.unreadable", { key: entry.key });
    }
  }
  return { jobs, ended };
}
