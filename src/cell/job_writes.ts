/**
 * The writes that bring the store up to a job.
 *
 * @module
 */
import type { Write } from "../ports/store.ts";
import { type EndedJob, type Job, stateOf } from "./job.ts";
import {
  encodeEnd,
  encodeProgress,
  encodeSubmission,
  JOBS_PREFIX,
  PROGRESS_PREFIX,
} from "./records.ts";

/** The end of a job that the store may hold in place of its progress; `undefined` if it goes on. */
export function endOf(job: Job, endedMs: number): EndedJob | undefined {
  const state = stateOf(job);
  if (state === "pending" || state === "running") return undefined;
  // Runs that are being stopped keep the record until they have ended.
  if (state !== "done" && holdsRoom(job)) return undefined;
  return { id: job.id, queue: job.queue, state, endedMs };
}

/** The writes for a job as it is now; `submission`: the store does not know it yet. */
export function writesOf(
  job: Job,
  { submission, end }: {
    readonly submission: boolean;
    readonly end: EndedJob | undefined;
  },
): Write[] {
  const jobKey = JOBS_PREFIX + job.id;
  const progressKey = PROGRESS_PREFIX + job.id;
  if (end !== undefined) {
    return [
      { type: "delete", key: jobKey },
      { type: "put", key: progressKey, value: encodeEnd(end) },
    ];
  }
  const writes: Write[] = [];
  if (submission) {
    writes.push({ type: "put", key: jobKey, value: encodeSubmission(job) });
  }
  if (job.begun || job.canceled) {
    writes.push({
      type: "put",
      key: progressKey,
      value: encodeProgress(job),
    });
  }
  return writes;
}

function holdsRoom(job: Job): boolean {
  return [...job.occurrences.values()].some((steps) =>
    steps.some((step) => step.tasks.some((task) => task.phase === "assigned"))
  );
}
