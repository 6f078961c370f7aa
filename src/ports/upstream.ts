/**
 * Interface to the workers: they answer requests and run tasks under leases.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { WorkerFailure } from "../errors.ts";
import type { Answer, Resources } from "../types.ts";

/** An HTTP request for an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Time without progress after which the connection is closed, milliseconds. */
  readonly timeoutMs: number;
}

/** A request to start a task on a worker. */
export interface TaskStart {
  /** Id of the attempt, unique across all tasks. */
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly resources: Resources;
  /** Fencing token. The worker rejects a token lower than the highest it has received. */
  readonly fence: number;
  /** Lease of the task, milliseconds. The worker stops the task if the lease is not renewed in time. */
  readonly leaseMs: number;
  /** Input of the task; only the workload interprets it. Base64. */
  readonly payload: string;
}

/** State of a task on a worker. */
export type TaskState =
  | { readonly type: "running" }
  | { readonly type: "throttled" }
  | { readonly type: "succeeded"; /** Base64. */ readonly result: string }
  | { readonly type: "failed"; readonly detail: string }
  | {
    readonly type: "stopped";
    /** Base64; absent if there is no checkpoint. */
    readonly checkpoint?: string;
  };

/** A task in the report of a worker. */
export interface TaskReport {
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly state: TaskState;
  /** Resources declared for the task. */
  readonly declared: Resources;
  /** Resources that the task was measured to use. */
  readonly used: Resources;
}

/** Tasks and requests of a worker and their resource usage. The figures lag behind. */
export interface Report {
  /** Age of the figures when the report was sent, milliseconds. */
  readonly ageMs: number;
  /** Whether the worker is shutting down. */
  readonly leaving: boolean;
  /** Number of requests in progress. */
  readonly requests: number;
  readonly tasks: readonly TaskReport[];
}

/** Client for all workers. `address` is the `host:port` of a worker. */
export interface Upstream {
  /**
   * Sends a request. Returns the complete answer, or a failure that states whether
   * the worker may have run the request.
   */
  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure>;
  /** Starts a task. */
  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure>;
  /** Renews the leases of attempts. Returns the attempts that the worker is not running. */
  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure>;
  /** Stops an attempt, with a checkpoint if asked for. */
  stop(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): ResultAsync<void, WorkerFailure>;
  /** Limits the CPU of an attempt. */
  throttle(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure>;
  /** Removes finished attempts from the reports of the worker. */
  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure>;
  /** Reads the report of a worker. */
  report(address: string): ResultAsync<Report, WorkerFailure>;
  /** Closes idle connections. */
  close(): Promise<void>;
}
