/**
 * Workers in memory, which keep a record of what they were sent.
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

/** A request that a worker holds back until told otherwise. */
export interface HeldRequest {
  readonly request: UpstreamRequest;
  finish(result: Result<WholeAnswer, WorkerFailure>): void;
}

/** An answer with an empty body. */
export function answerOf(status = 200): WholeAnswer {
  return { status, headers: {}, body: "" };
}

/** A failure of the given type. */
export function workerFailure(type: WorkerFailure["type"]): WorkerFailure {
  const message = "asked for by a test";
  return type === "workerFenced"
    ? { type, message, fence: 0 }
    : { type, message };
}

/** One worker. */
export class MemoryWorker {
  /** Failures by operation until they are deleted. */
  readonly faults = new Map<Operation, WorkerFailure["type"]>();
  /** Requests that the worker has run. */
  readonly ran: UpstreamRequest[] = [];
  readonly held: HeldRequest[] = [];
  readonly starts: TaskStart[] = [];
  readonly stopped: string[] = [];
  /** Attempts with the processors that were left to them. */
  readonly throttled: [string, number][] = [];
  readonly renewed: string[] = [];
  readonly forgotten: string[] = [];
  readonly tasks = new Map<string, TaskReport>();
  /** Whether requests wait for {@linkcode HeldRequest.finish}. */
  holds = false;
  requests = 0;
  ageMs = 0;
  leaving = false;
  fence = 0;
  /** Requests being answered as reports tell it. */
  countRequests: () => number = () => this.requests;
  /** Runs before a report is answered. */
  beforeReport: () => Promise<void> = () => Promise.resolve();
  /** Runs before a start is answered. */
  beforeStart: () => Promise<void> = () => Promise.resolve();

  /** Puts a task into its reports. */
  put(start: Omit<TaskStart, "fence" | "leaseMs" | "payload">): void {
    const { resources, ...rest } = start;
    const state: TaskState = { type: "running" };
    const used = resources;
    this.tasks.set(start.attempt, { ...rest, state, declared: used, used });
  }

  /** Changes what a task is seen to take. */
  use(attempt: string, used: Partial<Resources>): void {
    const task = this.tasks.get(attempt)!;
    this.tasks.set(attempt, { ...task, used: { ...task.used, ...used } });
  }

  /** Changes the state of a task. */
  set(attempt: string, state: TaskState): void {
    this.tasks.set(attempt, { ...this.tasks.get(attempt)!, state });
  }
}

/** All workers by address. */
export class MemoryUpstream implements Upstream {
  readonly #workers = new Map<string, MemoryWorker>();

  /** The worker at an address. */
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
      worker.ran.push(request);
    }
    if (fault !== undefined) return errAsync(workerFailure(fault));
    if (!worker.holds) return okAsync(answerOf());
    return new ResultAsync(
      new Promise((finish) => worker.held.push({ request, finish })),
    );
  }

  start(address: string, start: TaskStart): ResultAsync<void, WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("start");
    if (fault !== undefined && fault !== "workerSilent") {
      const refused = worker.beforeStart().then(() =>
        err<void, WorkerFailure>(workerFailure(fault))
      );
      return new ResultAsync(refused);
    }
    if (start.fence < worker.fence) {
      return errAsync(workerFailure("workerFenced"));
    }
    worker.fence = start.fence;
    worker.starts.push(start);
    worker.put(start);
    if (fault !== undefined) return errAsync(workerFailure(fault));
    return new ResultAsync(worker.beforeStart().then(() => ok()));
  }

  renew(
    address: string,
    fence: number,
    attempts: readonly string[],
  ): ResultAsync<readonly string[], WorkerFailure> {
    const worker = this.worker(address);
    const fault = worker.faults.get("renew");
    if (fault !== undefined) return errAsync(workerFailure(fault));
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
    if (fault !== undefined) return errAsync(workerFailure(fault));
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
