/**
 * Encodes and decodes the store's records of jobs: the submission, written
 * once; the progress, written with each change; and the end, a short record
 * that replaces the progress.
 *
 * @module
 */
import * as t from "io-ts";
import {
  type EndedJob,
  type Job,
  newJob,
  openOccurrence,
  type StepRun,
  type Task,
  type TaskPhase,
} from "./job.ts";
import type { JobSpec } from "./types.ts";

/** Key prefix of submissions. */
export const JOBS_PREFIX = "jobs/";
/** Key prefix of progress and end records. */
export const PROGRESS_PREFIX = "progress/";

/** Stored form of amounts. */
export const AmountsRecord = t.type({
  cpuMillis: t.number,
  memoryMib: t.number,
  accelerators: t.number,
});
const StepRecord = t.type({
  tasks: t.number,
  amounts: AmountsRecord,
  estimateMs: t.number,
  after: t.array(t.number),
  gang: t.boolean,
  requiredLabel: t.string,
  dataRack: t.string,
  sameRack: t.boolean,
  maxPerWorker: t.number,
  longRunning: t.boolean,
  backfill: t.boolean,
});
/** Stored form of {@linkcode JobSpec}. */
export const SpecRecord = t.intersection([
  t.type({ payload: t.string, steps: t.array(StepRecord) }),
  t.partial({
    recurrence: t.type({
      firstMs: t.number,
      intervalMs: t.number,
      times: t.number,
    }),
  }),
]);
/** Stored form of a queue. */
export const QueueRecord = t.intersection([
  t.type({
    name: t.string,
    host: t.string,
    pathPrefix: t.string,
    service: t.string,
    priority: t.number,
    attempts: t.number,
    stretch: t.number,
    objectiveMs: t.number,
    open: t.boolean,
  }),
  t.partial({
    advice: t.type({
      baseMs: t.number,
      perWorkerMs: t.number,
      ticketMs: t.number,
    }),
  }),
]);
const SubmissionRecord = t.type({
  policy: QueueRecord,
  team: t.string,
  acceptedMs: t.number,
  owed: t.boolean,
  spec: SpecRecord,
});
/** Index of the phase in `PHASES`, number of the last run, number of the last ended run, failures. */
const TaskCounters = t.tuple([t.number, t.number, t.number, t.number]);
/** Counters, worker, checkpoint. */
const TaskRecord = t.tuple([TaskCounters, t.string, t.string]);
const ProgressRecord = t.type({
  canceled: t.boolean,
  failed: t.boolean,
  finished: t.number,
  /** Index of the occurrence, and for each of its steps: failures of the gang, last failed run of the gang, tasks. */
  occurrences: t.array(
    t.tuple([
      t.number,
      t.array(t.tuple([t.number, t.number, t.array(TaskRecord)])),
    ]),
  ),
});
const EndRecord = t.intersection([
  t.type({
    end: t.union([
      t.literal("done"),
      t.literal("failed"),
      t.literal("canceled"),
    ]),
    queue: t.string,
    atMs: t.number,
  }),
  t.partial({ neverArrived: t.boolean }),
]);

/** Every end record starts with this text, no progress record does. */
const END_RECORD_PREFIX = '{"end":';

const PHASES: readonly TaskPhase[] = ["waiting", "assigned", "done"];

/** Encodes a job's submission. */
export function encodeSubmission(job: Job): string {
  const { policy, team, acceptedMs, owed, spec } = job;
  return JSON.stringify({ policy, team, acceptedMs, owed, spec });
}

/** Encodes a job's progress. */
export function encodeProgress(job: Job): string {
  const occurrences = [...job.occurrences].map(([occurrence, steps]) => [
    occurrence,
    steps.map((step) => [
      step.gangFailures,
      step.lastFailedGangRun,
      step.tasks.map(encodeTask),
    ]),
  ]);
  const progress = {
    canceled: job.canceled,
    failed: job.failed,
    finished: job.finishedOccurrences,
    occurrences,
  };
  return JSON.stringify(progress);
}

/** Encodes a job's end. */
export function encodeEnd(ended: EndedJob): string {
  return JSON.stringify({
    end: ended.state,
    queue: ended.queue,
    atMs: ended.endedMs,
    neverArrived: ended.neverArrived,
  });
}

/** Decodes a submission; `undefined` if the text is not a valid one. */
export function decodeSubmission(id: string, text: string): Job | undefined {
  const record = decode(SubmissionRecord, text);
  if (record === undefined) return undefined;
  const spec: JobSpec = record.spec;
  const job = newJob({ id, queue: record.policy.name, ...record, spec });
  job.stored = true;
  return job;
}

/** Decodes an end record; `undefined` if the text is a progress record or invalid. */
export function decodeEnd(id: string, text: string): EndedJob | undefined {
  // Most records are end records; for the others, checking the prefix is cheaper
  // than a decoding that fails.
  if (!text.startsWith(END_RECORD_PREFIX)) return undefined;
  const record = decode(EndRecord, text);
  if (record === undefined) return undefined;
  return {
    id,
    queue: record.queue,
    state: record.end,
    endedMs: record.atMs,
    ...(record.neverArrived === true ? { neverArrived: true } : {}),
  };
}

/** Restores a job's progress from its record; `false` if the text is not a valid one. */
export function restoreProgress(job: Job, text: string): boolean {
  const record = decode(ProgressRecord, text);
  if (record === undefined) return false;
  job.canceled = record.canceled;
  job.failed = record.failed;
  job.finishedOccurrences = record.finished;
  for (const [occurrence, steps] of record.occurrences) {
    const opened = job.occurrences.get(occurrence) ??
      openOccurrence(job, occurrence);
    for (const [stepIndex, [failures, failedRun, tasks]] of steps.entries()) {
      const step = opened[stepIndex];
      if (step === undefined) return false;
      step.gangFailures = failures;
      step.lastFailedGangRun = failedRun;
      for (const [taskIndex, encoded] of tasks.entries()) {
        restoreTask(step, step.tasks[taskIndex], encoded);
      }
    }
  }
  return true;
}

function encodeTask(task: Task): typeof TaskRecord._A {
  const phase = PHASES.indexOf(task.phase);
  return [
    [phase, task.run, task.lastCompletedRun, task.failures],
    task.worker,
    task.checkpoint,
  ];
}

function restoreTask(
  step: StepRun,
  task: Task | undefined,
  [[phase, run, endedRun, failures], worker, checkpoint]: typeof TaskRecord._A,
): void {
  if (task === undefined) return;
  task.phase = PHASES[phase] ?? "waiting";
  task.run = run;
  task.lastCompletedRun = endedRun;
  task.failures = failures;
  task.worker = worker;
  task.checkpoint = checkpoint;
  if (task.phase === "done") step.remainingTasks--;
  if (run > 0) step.job.hasStarted = true;
}

/**
 * Parses a record and checks its shape; `undefined` if it does not match.
 * `is` takes a fraction of the time of `decode`, and a new leader reads
 * thousands of records.
 */
function decode<A>(shape: t.Type<A>, text: string): A | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return shape.is(value) ? value : undefined;
  } catch {
    // Not JSON, so not written by a leader; the caller logs it.
    return undefined;
  }
}
