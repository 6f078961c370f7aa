/**
 * Submissions, queues, teams and workers as the cell sees them.
 *
 * @module
 */

/** Amounts that a worker offers or a task takes. */
export interface Amounts {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Mebibytes. */
  readonly memoryMib: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** Names one task: `JOB.OCCURRENCE.STEP.INDEX`. */
export type TaskId = string;

/** One step of a job, as submitted. */
export interface StepSpec {
  readonly tasks: number;
  readonly amounts: Amounts;
  /** Rough duration of a task, milliseconds. Off by factors of two to three. */
  readonly estimateMs: number;
  /** Earlier steps that must be done first. */
  readonly after: readonly number[];
  readonly gang: boolean;
  /** Label that the worker must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack of the data; empty for none. */
  readonly dataRack: string;
  readonly sameRack: boolean;
  /** Most tasks of the step on one worker; 0 for no limit. */
  readonly maxPerWorker: number;
  readonly longRunning: boolean;
  /** Takes what the others leave: its processors don't count against the worker. */
  readonly backfill: boolean;
}

/** When a recurring job is due. */
export interface Recurrence {
  readonly firstMs: number;
  readonly intervalMs: number;
  readonly times: number;
}

/** A submission as its client sent it. */
export interface JobSpec {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence?: Recurrence;
}

/** What a queue's advice costs and how long it holds. */
export interface AdvicePolicy {
  readonly baseMs: number;
  readonly perWorkerMs: number;
  readonly ticketMs: number;
}

/** A queue of the operators' set. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Failed runs of a task after which its job has failed. */
  readonly attempts: number;
  /** Latency objective as a factor of the job's longest chain of work. */
  readonly stretch: number;
  /** Constant part of the latency objective, milliseconds. */
  readonly objectiveMs: number;
  /** Whether calls need no key. */
  readonly open: boolean;
  readonly advice?: AdvicePolicy;
}

/** A team of the operators' set. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  /** Submissions a second that are owed to the team. */
  readonly weight: number;
  /** Upper limit over all workers; 0 means none. */
  readonly limit: Amounts;
}

/** The operators' set. */
export interface ClusterSet {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly teams: readonly Team[];
  /** Largest body of a submission, bytes. */
  readonly maxBodyBytes: number;
}

/** A worker as the platform lists it. */
export interface WorkerEntry {
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Amounts;
  readonly draining: boolean;
  /** Start of its process, Unix milliseconds; tells its lives apart. */
  readonly bornMs: number | undefined;
  /** Time after its start for which it is slow, milliseconds; 0 if it is warm. */
  readonly coldLeftMs: number;
}

/** Which workers may run a step. */
export type Advice =
  | {
    readonly type: "advised";
    /** Workers that may, with the ticket that a start must carry. */
    readonly tickets: ReadonlyMap<string, string>;
  }
  | { readonly type: "busy" }
  | { readonly type: "failed"; readonly message: string };

/** What an instance remembers of the advice on a step. */
export interface RecalledAdvice {
  readonly step: string;
  /** Workers that may not run it. */
  readonly bad: readonly string[];
  readonly good: readonly {
    readonly worker: string;
    readonly ticket: string;
    /** Age of the ticket, milliseconds. */
    readonly ageMs: number;
  }[];
}

/** What a client can see of a job. */
export type JobState = "pending" | "running" | "done" | "failed" | "canceled";

/** Whether `amounts` fit into `room`. */
export function fits(amounts: Amounts, room: Amounts): boolean {
  return amounts.cpuMillis <= room.cpuMillis &&
    amounts.memoryMib <= room.memoryMib &&
    amounts.accelerators <= room.accelerators;
}

/** `a` plus `times` times `b`. */
export function plus(a: Amounts, b: Amounts, times = 1): Amounts {
  return {
    cpuMillis: a.cpuMillis + times * b.cpuMillis,
    memoryMib: a.memoryMib + times * b.memoryMib,
    accelerators: a.accelerators + times * b.accelerators,
  };
}

/** Nothing of anything. */
export const NO_AMOUNTS: Amounts = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
};
