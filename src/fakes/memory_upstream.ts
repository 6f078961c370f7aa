/**
 * In-memory fake of the workers, which records the calls that it receives.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  ResultAsync,
} from "neverthrow";
import type { WorkerFailure } from "../errors.ts";
import type {
  Report,
  TaskReport,
  TaskStart,
  TaskState,
  Upstream,
  UpstreamRequest,
} from "../ports/upstream.ts";
import type { Answer, Resources } from "../types.ts";

type WholeAnswer = Omit<Answer, "worker">;
type Operation = "request" | "start" | "renew" | "stop" | "report";

/** A request in progress at a worker, until the test finishes it. */
export interface PendingRequest {
  readonly request: UpstreamRequest;
  finish(result: Result<WholeAnswer, WorkerFailure>): void;
}

/** Creates a response with an empty body. */
export function createResponse(status = 200): WholeAnswer {
  return { status, headers: {}, body: "" };
}

/** Creates a failure of the given type. */
export function createWorkerFailure(
  type: WorkerFailure["type"],
): WorkerFailure {
  const message = "injected by a test";
  return type === "workerFenced"
    ? { type, message, fence: 0 }
    : { type, message };
}

/** State of one worker. */
export class MemoryWorker {
  /** Operations that fail, with the type of the failure, until the entry is deleted. */
  readonly faults = new Map<Operation, WorkerFailure["type"]>();
  /** Requests that the worker has run. */
  readonly executedRequests: UpstreamRequest[] = [];
  /** Requests in progress. */
  readonly pending: PendingRequest[] = [];
  /** Accepted task starts. */
  readonly starts: TaskStart[] = [];
  /** Attempts for which a stop was received. */
  readonly stopped: string[] = [];
  /** Attempts that were throttled, with their new processor limits, thousandths of a core. */
  readonly throttled: [string, number][] = [];
  /** Attempts whose leases were renewed. */
  readonly renewed: string[] = [];
  /** Attempts that were removed from the worker's reports. */
  readonly forgotten: string[] = [];
  /** Tasks in the worker's reports, by attempt. */
  readonly tasks = new Map<string, TaskReport>();
  /** Whether requests stay in progress until {@linkcode PendingRequest.finish} is called. */
  holdsRequests = false;
  /** Number of requests in progress in the worker's reports. */
  requests = 0;
  /** Age of the worker's reports, milliseconds. */
  ageMs = 0;
  /** Whether the worker's reports announce its shutdown. */
  leaving = false;
  /** Newest fencing token that the worker has seen. */
  fence = 0;
  /** Returns the number of requests in progress for a report. */
  countRequests: () => number = () => this.requests;
  /** Awaited before a report is returned. */
  beforeReport: () => Promise<void> = () => Promise.resolve();
  /** Awaited before the response to a start is returned. */
  beforeStart: () => Promise<void> = () => Promise.resolve();

  /** Adds a running task to the worker's reports. */
  addTask(start: Omit<TaskStart, "fence" | "leaseMs" | "payload">): void {
    const { resources, ...rest } = start;
    const state: TaskState = { type: "running" };
    const used = resources;
    this.tasks.set(start.attempt, { ...rest, state, declared: used, used });
  }

  /** Changes the reported resource usage of a task. */
  setUsage(attempt: string, used: Partial<Resources>): void {
    const task = this.tasks.get(attempt)!;
    this.tasks.set(attempt, { ...task, used: { ...task.used, ...used } });
  }

  /** Changes the reported state of a task. */
  set(attempt: string, state: TaskState): void {
    this.tasks.set(attempt, { ...this.tasks.get(attempt)!, state });
  }
}

/** All workers of a test, by address. */
export class MemoryUpstream implements Upstream {
  readonly #workers = new Map<string, MemoryWorker>();

  /** Returns the worker at an address; creates it on first use. */
  worker(address: string): MemoryWorker {
    const worker = this.#workers.get(address) ?? new MemoryWorker();
    this.#workers.set(address, worker);
    return worker;
  }

  request(
    address: string,
    request: UpstreamRequest,
  ): ResultAsync<WholeAnswer, WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("request");
    if (fault === undefined || fault === "workerSilent") {
      worker.executedRequests.push(request);
    }
    if (fault !== undefined) return errAsync(createWorkerFailure(fault));
    if (!worker.holdsRequests) return okAsync(createResponse());
    return new ResultAsync(
      new Promise((finish) => worker.pending.push({ request, finish })),
    );
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("start");
    if (fault !== undefined && fault !== "workerSilent") {
      const refused = worker.beforeStart().then(() =>
        err<void, WorkerFailure>(createWorkerFailure(fault))
      );
      return new ResultAsync(refused);
    }
    if (start.fence < worker.fence) {
      return errAsync(createWorkerFailure("workerFenced"));
    }
    worker.fence = start.fence;
    worker.starts.push(start);
    worker.addTask(start);
    if (fault !== undefined) return errAsync(createWorkerFailure(fault));
    return new ResultAsync(worker.beforeStart().then(() => ok()));
  }

  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("renew");
    if (fault !== undefined) return errAsync(createWorkerFailure(fault));
    worker.fence = Math.max(worker.fence, fence);
    worker.renewed.push(...attempts);
    return okAsync(attempts.filter((attempt) => !worker.tasks.has(attempt)));
  }

  stop(address: string, attempt: string): ResultAsync<void, WorkerFailure> {
    this.worker(address).stopped.push(attempt);
    return okAsync(undefined);
  }

  throttle(
    address: string,
    attempt: string,
    { cpuMillis }: { readonly cpuMillis: number },
  ): ResultAsync<void, WorkerFailure> {
    this.worker(address).throttled.push([attempt, cpuMillis]);
    return okAsync(undefined);
  }

  forget(
    address: string,
    attempts: readonly string[],
  ): ResultAsync<void, WorkerFailure> {
    const worker = this.worker(address);
    worker.forgotten.push(...attempts);
    for (const attempt of attempts) worker.tasks.delete(attempt);
    return okAsync(undefined);
  }

  report(address: string): ResultAsync<Report, WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("report");
    if (fault !== undefined) return errAsync(createWorkerFailure(fault));
    const { ageMs, leaving } = worker;
    const requests = worker.countRequests();
    const tasks = [...worker.tasks.values()];
    const report = { ageMs, leaving, requests, tasks };
    return new ResultAsync(worker.beforeReport().then(() => ok(report)));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
