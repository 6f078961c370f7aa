/**
 * A job and the state of its tasks.
 *
 * @module
 */
import { StepWaits } from "./step_waits.ts";
import type { JobSpec, JobState, Queue, StepSpec, TaskId } from "./types.ts";

/** Where a task stands. `assigned`: it holds room on a worker, started there or not yet. */
export type TaskPhase = "waiting" | "assigned" | "done";

/** One task of a step. */
export interface Task {
  readonly id: TaskId;
  readonly index: number;
  phase: TaskPhase;
  /** Number of its last run; 0 before the first. */
  run: number;
  /** Last run whose end has been applied; its worker may tell of it again. */
  endedRun: number;
  /** Runs that ended in failure. */
  failures: number;
  /** Worker of its last run; empty before the first. */
  worker: string;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
}

/** One occurrence of a step. */
export interface StepRun {
  readonly job: Job;
  readonly occurrence: number;
  readonly index: number;
  readonly spec: StepSpec;
  readonly tasks: readonly Task[];
  /** Tasks that are not done. */
  left: number;
  /** Failed runs of the gang as a whole. */
  gangFailures: number;
  /** Last run of the gang that counts as failed; several members may tell of it. */
  gangFailedRun: number;
  readonly advice: StepAdvice;
  readonly waits: StepWaits;
}

/** Permission to run a step on a worker. */
export interface Ticket {
  readonly ticket: string;
  /** When it was given, monotonic milliseconds. */
  readonly atMs: number;
}

/** What the advice service said of a step. */
export interface StepAdvice {
  /** Whether a worker may run the step; this never changes. */
  readonly verdicts: Map<string, boolean>;
  readonly tickets: Map<string, Ticket>;
  /** When the newest ticket was given, monotonic milliseconds; -Infinity without one. */
  ticketedMs: number;
  /** Questions that are waited for. */
  asking: number;
  /** No question before this time, milliseconds of the monotonic clock. */
  retryAtMs: number;
}

/** One submission from its acceptance on. */
export interface Job {
  readonly id: string;
  readonly queue: string;
  /** The queue as it was at acceptance; it holds once the queue itself is gone. */
  readonly policy: Queue;
  readonly team: string;
  readonly spec: JobSpec;
  /** Time of acceptance, Unix milliseconds. */
  readonly acceptedMs: number;
  /** Whether the team was within its weight when the job came. */
  readonly owed: boolean;
  /** Steps by occurrence; a recurring job gets an occurrence when it is due. */
  readonly occurrences: Map<number, readonly StepRun[]>;
  /** Occurrences that are done altogether. */
  finishedOccurrences: number;
  begun: boolean;
  canceled: boolean;
  failed: boolean;
  /** Whether the store holds it: only then it may run. */
  stored: boolean;
  /** State as the store holds it, which is what clients are told. */
  shown: JobState;
}

/** A job that the cell has seen the end of. */
export interface EndedJob {
  readonly id: string;
  readonly queue: string;
  readonly state: "done" | "failed" | "canceled";
  readonly endedMs: number;
}

/** What a new job is made of. */
export type JobSeed = Pick<
  Job,
  "id" | "queue" | "policy" | "team" | "spec" | "acceptedMs" | "owed"
>;

/** A job none of whose tasks has run. */
export function newJob(seed: JobSeed): Job {
  const job: Job = {
    ...seed,
    occurrences: new Map(),
    finishedOccurrences: 0,
    begun: false,
    canceled: false,
    failed: false,
    stored: false,
    shown: "pending",
  };
  if (seed.spec.recurrence === undefined) openOccurrence(job, 0);
  return job;
}

/** Makes the steps of an occurrence; gives them. */
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
      endedRun: 0,
      failures: 0,
      worker: "",
      checkpoint: "",
    })),
    left: spec.tasks,
    gangFailures: 0,
    gangFailedRun: 0,
    advice: {
      verdicts: new Map(),
      tickets: new Map(),
      ticketedMs: -Infinity,
      asking: 0,
      retryAtMs: 0,
    },
    waits: new StepWaits(),
  }));
  job.occurrences.set(occurrence, steps);
  return steps;
}

/** Takes note of a ticket for a worker unless a newer one is known. */
export function noteTicket(
  { advice }: StepRun,
  worker: string,
  ticket: Ticket,
): void {
  const before = advice.tickets.get(worker)?.atMs ?? -Infinity;
  if (before > ticket.atMs) return;
  advice.tickets.set(worker, ticket);
  advice.ticketedMs = Math.max(advice.ticketedMs, ticket.atMs);
}

/** Name of a step to the advice service. */
export function stepKey({ job, occurrence, index }: StepRun): string {
  return `${job.id}.${occurrence}.${index}`;
}

/** Occurrences that a job has in all. */
export function occurrencesOf(job: Job): number {
  return job.spec.recurrence?.times ?? 1;
}

/** When an occurrence is due, Unix milliseconds. */
export function dueMs(job: Job, occurrence: number): number {
  const recurrence = job.spec.recurrence;
  if (recurrence === undefined) return job.acceptedMs;
  return recurrence.firstMs + occurrence * recurrence.intervalMs;
}

/** Whether the steps before it are done. */
export function isReady(step: StepRun): boolean {
  if (step.left === 0) return false;
  const steps = step.job.occurrences.get(step.occurrence) ?? [];
  return step.spec.after.every((index) => steps[index]?.left === 0);
}

/** Whether nothing more of a job will be started. */
export function isOver(job: Job): boolean {
  return job.canceled || job.failed ||
    job.finishedOccurrences >= occurrencesOf(job);
}

/** How a job stands, by what is in memory. */
export function stateOf(job: Job): JobState {
  if (job.canceled) return "canceled";
  if (job.failed) return "failed";
  if (job.finishedOccurrences >= occurrencesOf(job)) return "done";
  return job.begun ? "running" : "pending";
}

/** Accepted jobs by queue of which no task has started. */
export function waitingByQueue(
  jobs: Iterable<Job>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const job of jobs) {
    if (!job.stored || job.begun || stateOf(job) !== "pending") continue;
    if (job.spec.recurrence !== undefined) continue;
    counts.set(job.queue, (counts.get(job.queue) ?? 0) + 1);
  }
  return counts;
}

/** Splits the name of a task. */
export function parseTaskId(id: TaskId): {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
} {
  const [job = "", occurrence, step, index] = id.split(".");
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}

/** Finds the step and the task of a name. */
export function findTask(
  jobs: ReadonlyMap<string, Job>,
  id: TaskId,
): { readonly step: StepRun; readonly task: Task } | undefined {
  const name = parseTaskId(id);
  const steps = jobs.get(name.job)?.occurrences.get(name.occurrence);
  const step = steps?.[name.step];
  const task = step?.tasks[name.index];
  return step === undefined || task === undefined ? undefined : { step, task };
}
