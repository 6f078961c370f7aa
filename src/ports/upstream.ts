/**
 * What workers offer: answering requests and running tasks under leases.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { WorkerFailure } from "../errors.ts";
import type { Answer, Resources } from "../types.ts";

/** An HTTP request for an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  /** Path with query, beginning with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Milliseconds after which a connection without progress is given up. */
  readonly timeoutMs: number;
}

/** The start of a task on a worker. */
export interface TaskStart {
  /** Unique to one attempt of one task. */
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly resources: Resources;
  /** The worker refuses a start with a number lower than the highest it has seen. */
  readonly fence: number;
  /** The worker stops the task when the lease is not renewed for so long. */
  readonly leaseMs: number;
  /** Opaque to everyone but the workload. Base64. */
  readonly payload: string;
}

/** State of a task on its worker. */
export type TaskState =
  | { readonly type: "running" }
  | { readonly type: "throttled" }
  | { readonly type: "succeeded"; /** Base64. */ readonly result: string }
  | { readonly type: "failed"; readonly detail: string }
  | {
    readonly type: "stopped"; /** Base64; absent if none was taken. */
    readonly checkpoint?: string;
  };

/** One task in a worker's report. */
export interface TaskReport {
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly state: TaskState;
  /** What it was declared to take. */
  readonly declared: Resources;
  /** What it was seen to take. */
  readonly used: Resources;
}

/** A worker's report of its usage; lags behind. */
export interface Report {
  /** Age of the figures in milliseconds when the report was sent. */
  readonly ageMs: number;
  readonly leaving: boolean;
  /** Requests being answered right now. */
  readonly requests: number;
  readonly tasks: readonly TaskReport[];
}

/** Access to all workers, by `host:port`. */
export interface Upstream {
  /** Sends a request; the answer is whole or a failure says what is known. */
  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<Omit<Answer, "worker">, WorkerFailure>;
  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure>;
  /** Renews the leases of running attempts; gives those that the worker does not run. */
  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure>;
  stop(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly checkpoint: boolean },
  ): ResultAsync<void, WorkerFailure>;
  throttle(
    address: string,
    attempt: string,
    options: { readonly fence: number; readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure>;
  /** Drops a finished attempt from the worker's reports. */
  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure>;
  report(address: string): ResultAsync<Report, WorkerFailure>;
  /** Closes idle connections. */
  close(): Promise<void>;
}
