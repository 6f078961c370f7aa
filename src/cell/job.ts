/**
 * Jobs and the state of their tasks.
 *
 * @module
 */
import { StepWaits } from "./step_waits.ts";
import type { JobSpec, JobState, Queue, StepSpec, TaskId } from "./types.ts";
import { Verdicts, type WorkerProcess } from "./verdicts.ts";

/**
 * State of a task. `assigned`: it has capacity on a worker, whether or not it
 * has started there.
 */
export type TaskPhase = "waiting" | "assigned" | "done";

/** One task of a step. */
export interface Task {
  readonly id: TaskId;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the last run; 0 before the first one. */
  run: number;
  /**
   * Number of the last run whose completion has been applied. The worker may
   * report that completion again.
   */
  lastCompletedRun: number;
  /** Runs that failed. */
  failures: number;
  /** Worker of the last run; empty before the first one. */
  worker: string;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
}

/**
 * One occurrence of a step: a recurring job has one for each time it is due,
 * others have a single one.
 */
export interface StepRun {
  readonly job: Job;
  readonly occurrence: number;
  readonly index: number;
  readonly spec: StepSpec;
  readonly tasks: readonly Task[];
  /** Tasks that are not done yet. */
  remainingTasks: number;
  /** Failed runs of the gang as a whole. */
  gangFailures: number;
  /**
   * Number of the last run that was counted as a failure of the gang. Several
   * members may report the same failure.
   */
  lastFailedGangRun: number;
  readonly advice: StepAdvice;
  readonly waits: StepWaits;
}

/**
 * A permit of the advice service to start tasks of a step on one process of a
 * worker. The next process rejects it.
 */
export interface Ticket {
  readonly ticket: string;
  readonly processStartMs: number | undefined;
  /** When the ticket was issued, monotonic milliseconds. */
  readonly atMs: number;
}

/** What the advice service has answered about a step. */
export interface StepAdvice {
  readonly verdicts: Verdicts;
  /** The last ticket for each worker, by its id. */
  readonly tickets: Map<string, Ticket>;
  /**
   * When the newest ticket was issued, monotonic milliseconds; -Infinity if
   * there is none.
   */
  newestTicketMs: number;
  /**
   * Advice requests in flight that are not overdue, and pending reads of cached
   * advice.
   */
  requestsInFlight: number;
  /** No advice request is sent before this time, monotonic milliseconds. */
  retryAtMs: number;
  /**
   * How many steps like this one had room at the last check; 0 if this one had
   * no request to send, 1 if that has not been checked yet.
   */
  similarStarts: number;
  /** When that was checked, monotonic milliseconds. */
  startsCheckedMs: number;
}

/** A submission from its acceptance on. */
export interface Job {
  readonly id: string;
  readonly queue: string;
  /**
   * The queue as it was at acceptance. Used once the operators' set no longer
   * has the queue.
   */
  readonly policy: Queue;
  readonly team: string;
  readonly spec: JobSpec;
  /** Time of acceptance, Unix milliseconds. */
  readonly acceptedMs: number;
  /**
   * Whether the team was within its weighted share when the job was submitted.
   */
  readonly owed: boolean;
  /**
   * Steps by occurrence. A recurring job gets each occurrence when it is due.
   */
  readonly occurrences: Map<number, readonly StepRun[]>;
  /** Occurrences whose steps are all done. */
  finishedOccurrences: number;
  hasStarted: boolean;
  canceled: boolean;
  failed: boolean;
  /**
   * Whether the store has the submission. Nothing of the job is started before.
   */
  stored: boolean;
  /** State as recorded in the store, which is the state that clients see. */
  visibleState: JobState;
}

/** A job whose end has been recorded. */
export interface EndedJob {
  readonly id: string;
  readonly queue: string;
  readonly state: "done" | "failed" | "canceled";
  readonly endedMs: number;
  /**
   * Whether the job was canceled before its submission arrived. To clients no
   * such job exists.
   */
  readonly neverArrived?: boolean;
}

/** The fixed properties of a new job. */
export type JobSeed = Pick<
  Job,
  "id" | "queue" | "policy" | "team" | "spec" | "acceptedMs" | "owed"
>;

/** Creates a job of which no task has run. */
export function newJob(seed: JobSeed): Job {
  const job: Job = {
    ...seed,
    occurrences: new Map(),
    finishedOccurrences: 0,
    hasStarted: false,
    canceled: false,
    failed: false,
    stored: false,
    visibleState: "pending",
  };
  if (seed.spec.recurrence === undefined) openOccurrence(job, 0);
  return job;
}

/** Adds an occurrence to a job and returns its steps. */
export function openOccurrence(
  job: Job,
  occurrence: number,
): readonly StepRun[] {
  const steps = job.spec.steps.map((spec, index): StepRun => ({
    job,
    occurrence,
    index,
    spec,
    tasks: Array.from({ length: spec.tasks }, (_, task) => ({
      id: `${job.id}.${occurrence}.${index}.${task}`,
      index: task,
      phase: "waiting",
      run: 0,
      lastCompletedRun: 0,
      failures: 0,
      worker: "",
      checkpoint: "",
    })),
    remainingTasks: spec.tasks,
    gangFailures: 0,
    lastFailedGangRun: 0,
    advice: {
      verdicts: new Verdicts(),
      tickets: new Map(),
      newestTicketMs: -Infinity,
      requestsInFlight: 0,
      retryAtMs: 0,
      similarStarts: 1,
      startsCheckedMs: -Infinity,
    },
    waits: new StepWaits(),
  }));
  job.occurrences.set(occurrence, steps);
  return steps;
}

/**
 * Stores a ticket for a process of a worker unless a newer one for the same
 * process is known.
 */
export function addTicket(
  { advice }: StepRun,
  { id, processStartMs }: WorkerProcess,
  { ticket, atMs }: Omit<Ticket, "processStartMs">,
): void {
  const before = advice.tickets.get(id);
  const isNewer = before !== undefined && before.atMs > atMs;
  if (isNewer && before.processStartMs === processStartMs) return;
  advice.tickets.set(id, { ticket, processStartMs, atMs });
  advice.newestTicketMs = Math.max(advice.newestTicketMs, atMs);
}

/** Name of a step in advice requests: `JOB.OCCURRENCE.STEP`. */
export function stepKey({ job, occurrence, index }: StepRun): string {
  return `${job.id}.${occurrence}.${index}`;
}

/** Total number of occurrences of a job. */
export function occurrenceCount(job: Job): number {
  return job.spec.recurrence?.times ?? 1;
}

/** When an occurrence is due, Unix milliseconds. */
export function dueMs(job: Job, occurrence: number): number {
  const recurrence = job.spec.recurrence;
  if (recurrence === undefined) return job.acceptedMs;
  return recurrence.firstMs + occurrence * recurrence.intervalMs;
}

/**
 * Whether the step has unfinished tasks and all steps it depends on are done.
 */
export function isReady(step: StepRun): boolean {
  if (step.remainingTasks === 0) return false;
  const steps = step.job.occurrences.get(step.occurrence) ?? [];
  return step.spec.after.every((index) => steps[index]?.remainingTasks === 0);
}

/**
 * Whether a job has been canceled, has failed or is done, so that nothing more
 * of it will be started.
 */
export function isFinished(job: Job): boolean {
  return job.canceled || job.failed ||
    job.finishedOccurrences >= occurrenceCount(job);
}

/** State of a job in memory, which may be newer than the recorded one. */
export function stateOf(job: Job): JobState {
  if (job.canceled) return "canceled";
  if (job.failed) return "failed";
  if (job.finishedOccurrences >= occurrenceCount(job)) return "done";
  return job.hasStarted ? "running" : "pending";
}

/**
 * Number of accepted jobs of which no task has started, by queue. Recurring
 * jobs are not counted.
 */
export function pendingJobsByQueue(
  jobs: Iterable<Job>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const job of jobs) {
    if (!job.stored || job.hasStarted || stateOf(job) !== "pending") continue;
    if (job.spec.recurrence !== undefined) continue;
    counts.set(job.queue, (counts.get(job.queue) ?? 0) + 1);
  }
  return counts;
}

/** Splits a task id into its parts. */
export function parseTaskId(id: TaskId): {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly taskIndex: number;
} {
  const [job = "", occurrence, step, index] = id.split(".");
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    taskIndex: Number(index),
  };
}

/** Finds the step and the task of a task id; `undefined` if there is none. */
export function findTask(
  jobs: ReadonlyMap<string, Job>,
  id: TaskId,
): { readonly step: StepRun; readonly task: Task } | undefined {
  const parts = parseTaskId(id);
  const steps = jobs.get(parts.job)?.occurrences.get(parts.occurrence);
  const step = steps?.[parts.step];
  const task = step?.tasks[parts.taskIndex];
  return step === undefined || task === undefined ? undefined : { step, task };
}
