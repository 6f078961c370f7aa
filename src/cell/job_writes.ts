/**
 * Computes the store writes that record a job's current state.
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

/**
 * The end of a job, which replaces its progress in the store; `undefined` while
 * the job's progress is still needed.
 */
export function endedJobOf(job: Job, endedMs: number): EndedJob | undefined {
  const state = stateOf(job);
  if (state === "pending" || state === "running") return undefined;
  // A canceled or failed job keeps its progress record until its runs have been
  // stopped, so that the next leader can stop them.
  if (state !== "done" && hasAssignedTasks(job)) return undefined;
  return { id: job.id, queue: job.queue, state, endedMs };
}

/** The writes that record a job's current state. `submission`: the submission is not stored yet. `end`: set once the job has ended. */
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
  if (job.hasStarted || job.canceled) {
    writes.push({
      type: "put",
      key: progressKey,
      value: encodeProgress(job),
    });
  }
  return writes;
}

function hasAssignedTasks(job: Job): boolean {
  return [...job.occurrences.values()].some((steps) =>
    steps.some((step) => step.tasks.some((task) => task.phase === "assigned"))
  );
}
