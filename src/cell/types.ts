/**
 * Data types of the cell: submissions, queues, teams and workers.
 *
 * @module
 */
import type { WorkerProcess } from "./verdicts.ts";

/** Amounts of resources that a worker offers or a task takes. */
export interface Amounts {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Mebibytes. */
  readonly memoryMib: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** Id of a task: `JOB.OCCURRENCE.STEP.INDEX`. */
export type TaskId = string;

/** One step of a job, as submitted. */
export interface StepSpec {
  readonly tasks: number;
  readonly amounts: Amounts;
  /**
   * Estimated duration of a task, milliseconds. Often wrong by factors of two
   * to three.
   */
  readonly estimateMs: number;
  /** Indexes of earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  readonly gang: boolean;
  /** Label that a worker must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that has the data of the step; empty for none. */
  readonly dataRack: string;
  readonly sameRack: boolean;
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  readonly maxPerWorker: number;
  readonly longRunning: boolean;
  /**
   * Whether the tasks run on otherwise unused processors, which are not charged
   * to the worker.
   */
  readonly backfill: boolean;
}

/**
 * Due times of a recurring job: the first (Unix milliseconds), the interval
 * (milliseconds) and the number of occurrences.
 */
export interface Recurrence {
  readonly firstMs: number;
  readonly intervalMs: number;
  readonly times: number;
}

/** A submission as the client sent it. */
export interface JobSpec {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence?: Recurrence;
}

/**
 * Expected duration of the advice requests of a queue, and the lifetime of the
 * tickets that they return. A ticket is a permit of the advice service to start
 * tasks of one step on one worker.
 */
export interface AdvicePolicy {
  /** Constant part of the duration, milliseconds. */
  readonly baseMs: number;
  /** Part of the duration for each worker in the request, milliseconds. */
  readonly perWorkerMs: number;
  /** Time after its issue in which a ticket can be used, milliseconds. */
  readonly ticketMs: number;
}

/** A queue of the operators' set. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly attempts: number;
  /**
   * Latency objective relative to the longest chain of dependent steps of the
   * job.
   */
  readonly stretch: number;
  /** Constant part of the latency objective, milliseconds. */
  readonly objectiveMs: number;
  /** Whether clients need no API key. */
  readonly open: boolean;
  readonly advice?: AdvicePolicy;
}

/** A team of the operators' set. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  /** Submissions per second that the team is entitled to. */
  readonly weight: number;
  /** Maximum amounts that the team may use over all workers; 0 for no limit. */
  readonly limit: Amounts;
}

/** The operators' set: queues, teams and the size limit of submissions. */
export interface ClusterSet {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly teams: readonly Team[];
  /** Maximum size of a submission's body, bytes. */
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
  /**
   * Start of the worker's process, Unix milliseconds. It changes when the
   * worker restarts.
   */
  readonly processStartMs: number | undefined;
  /**
   * Remaining time for which the worker is slow after its start, milliseconds;
   * 0 if it is warm.
   */
  readonly coldLeftMs: number;
}

/**
 * Response to an advice request. `busy`: no channel was free, or the service
 * has rejected the request because another one was in progress.
 */
export type Advice =
  | {
    readonly type: "advised";
    /**
     * Tickets by worker id, for those workers that may run the step. A start
     * request must carry its ticket.
     */
    readonly tickets: ReadonlyMap<string, string>;
  }
  | { readonly type: "busy" }
  | { readonly type: "failed"; readonly message: string };

/**
 * Advice on a step that an instance has cached. The start of a process is
 * `undefined` if it passed through an instance of an older build.
 */
export interface CachedAdvice {
  readonly step: string;
  /** Workers that may not run the step. */
  readonly bad: readonly WorkerProcess[];
  readonly good: readonly {
    readonly worker: WorkerProcess;
    readonly ticket: string;
    /** Age of the ticket, milliseconds. */
    readonly ageMs: number;
  }[];
}

/** State of a job as clients see it. */
export type JobState = "pending" | "running" | "done" | "failed" | "canceled";

/** Whether `amounts` fit into `available`. */
export function fits(amounts: Amounts, available: Amounts): boolean {
  return amounts.cpuMillis <= available.cpuMillis &&
    amounts.memoryMib <= available.memoryMib &&
    amounts.accelerators <= available.accelerators;
}

/** Returns `a` plus `times` times `b`. */
export function plus(a: Amounts, b: Amounts, times = 1): Amounts {
  return {
    cpuMillis: a.cpuMillis + times * b.cpuMillis,
    memoryMib: a.memoryMib + times * b.memoryMib,
    accelerators: a.accelerators + times * b.accelerators,
  };
}

/** Zero of every resource. */
export const NO_AMOUNTS: Amounts = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
};
