/**
 * Jobs as the store keeps them: the submission once, its progress with each
 * change, and a short note of its end.
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

/** Keys of submissions. */
export const JOBS_PREFIX = "jobs/";
/** Keys of progress and of ends. */
export const PROGRESS_PREFIX = "progress/";

/** Shape of amounts as text. */
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
/** Shape of {@linkcode JobSpec} as text. */
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
/** Shape of a queue as text. */
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
/** Phase, run, last ended run, failures. */
const TaskNumbers = t.tuple([t.number, t.number, t.number, t.number]);
/** Numbers, worker, checkpoint. */
const TaskRecord = t.tuple([TaskNumbers, t.string, t.string]);
const ProgressRecord = t.type({
  canceled: t.boolean,
  failed: t.boolean,
  finished: t.number,
  /** Occurrence, then for each step the failures of its gang, the last failed run and its tasks. */
  occurrences: t.array(
    t.tuple([
      t.number,
      t.array(t.tuple([t.number, t.number, t.array(TaskRecord)])),
    ]),
  ),
});
const EndRecord = t.type({
  end: t.union([t.literal("done"), t.literal("failed"), t.literal("canceled")]),
  queue: t.string,
  atMs: t.number,
});

/** How the record of an end begins. */
const END_START = '{"end":';

const PHASES: readonly TaskPhase[] = ["waiting", "assigned", "done"];

/** Encodes what was submitted. */
export function encodeSubmission(job: Job): string {
  const { policy, team, acceptedMs, owed, spec } = job;
  return JSON.stringify({ policy, team, acceptedMs, owed, spec });
}

/** Encodes how far a job has come. */
export function encodeProgress(job: Job): string {
  const occurrences = [...job.occurrences].map(([occurrence, steps]) => [
    occurrence,
    steps.map((step) => [
      step.gangFailures,
      step.gangFailedRun,
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

/** Encodes the end of a job. */
export function encodeEnd(ended: EndedJob): string {
  return JSON.stringify({
    end: ended.state,
    queue: ended.queue,
    atMs: ended.endedMs,
  });
}

/** Decodes a submission; `undefined` if it is none of ours. */
export function decodeSubmission(id: string, text: string): Job | undefined {
  const record = decode(SubmissionRecord, text);
  if (record === undefined) return undefined;
  const spec: JobSpec = record.spec;
  const job = newJob({ id, queue: record.policy.name, ...record, spec });
  job.stored = true;
  return job;
}

/** Decodes an end; `undefined` if the record tells of progress. */
export function decodeEnd(id: string, text: string): EndedJob | undefined {
  // A decoder that fails costs more than this look, and most records are ends.
  if (!text.startsWith(END_START)) return undefined;
  const record = decode(EndRecord, text);
  if (record === undefined) return undefined;
  return {
    id,
    queue: record.queue,
    state: record.end,
    endedMs: record.atMs,
  };
}

/** Brings a job to the progress of a record; `false` if it is none. */
export function restoreProgress(job: Job, text: string): boolean {
  const record = decode(ProgressRecord, text);
  if (record === undefined) return false;
  job.canceled = record.canceled;
  job.failed = record.failed;
  job.finishedOccurrences = record.finished;
  for (const [occurrence, steps] of record.occurrences) {
    const opened = job.occurrences.get(occurrence) ??
      openOccurrence(job, occurrence);
    for (const [index, [failures, failedRun, tasks]] of steps.entries()) {
      const step = opened[index];
      if (step === undefined) return false;
      step.gangFailures = failures;
      step.gangFailedRun = failedRun;
      for (const [place, encoded] of tasks.entries()) {
        restoreTask(step, step.tasks[place], encoded);
      }
    }
  }
  return true;
}

function encodeTask(task: Task): typeof TaskRecord._A {
  const phase = PHASES.indexOf(task.phase);
  return [
    [phase, task.run, task.endedRun, task.failures],
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
  task.endedRun = endedRun;
  task.failures = failures;
  task.worker = worker;
  task.checkpoint = checkpoint;
  if (task.phase === "done") step.left--;
  if (run > 0) step.job.begun = true;
}

/** The value of a record. A look at its shape takes a fraction of a decoding, and a new holder reads thousands. */
function decode<A>(shape: t.Type<A>, text: string): A | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return shape.is(value) ? value : undefined;
  } catch {
    // Not JSON: somebody else's entry, which the caller reports.
    return undefined;
  }
}
