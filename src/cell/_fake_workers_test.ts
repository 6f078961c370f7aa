/**
 * In-memory workers for tests of the cell, which behave as the platform's pages
 * describe.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { ManualClock } from "../clock.ts";
import type {
  PollFailure,
  ReportedCompletion,
  ReportedRun,
  StartRequest,
  StartResponse,
  WorkerAddress,
  WorkerClient,
  WorkerReport,
} from "./ports.ts";

/** An in-memory worker. */
export class FakeWorker {
  fence = 0;
  processStartMs = 1;
  silent = false;
  /** Stop requests are confirmed, but the runs continue. */
  slowToStop = false;
  /**
   * Start requests get no response and are stored for {@linkcode runDelayedStarts}.
   */
  delaysStarts = false;
  /** Number of further calls that are carried out without a response. */
  lostResponses = 0;
  /** Runs are done as soon as they start. */
  completesInstantly = false;
  readonly delayedStarts: StartRequest[] = [];
  readonly running = new Map<
    string,
    { run: number; checkpoint: string; percent: number }
  >();
  /** Acknowledgments get lost, so completions are reported again. */
  keepsCompletions = false;
  /** Maximum number of completions in a report, the oldest first. */
  maxReported = 500;
  /** How long a poll waits for a completion, milliseconds. */
  maxPollMs = 50;
  /** Runs make no progress. */
  stalled = false;
  /** Whether this process accepts a ticket. */
  acceptsTicket: (ticket: string | undefined) => boolean = () => true;
  readonly starts: StartRequest[] = [];
  readonly stops: { readonly task: string; readonly run: number }[] = [];
  readonly forbidden = new Map<string, number>();
  ended: ReportedCompletion[] = [];
  acknowledged = 0;
  #completions = 0;
  #clockStartMs = 0;
  readonly id: string;
  readonly clock: ManualClock;

  constructor(id: string, clock: ManualClock) {
    this.id = id;
    this.clock = clock;
  }

  /** Ends a run and adds its completion to the next report. */
  end(task: string, kind: ReportedCompletion["kind"], checkpoint = ""): void {
    const running = this.running.get(task);
    if (running === undefined) return;
    this.running.delete(task);
    this.#completions++;
    this.ended.push({
      sequence: this.#completions,
      task,
      run: running.run,
      kind,
      checkpoint,
    });
  }

  /**
   * Restarts the worker's process under the same id. `processStartMs`: the wall
   * clock at its start.
   */
  restart(processStartMs = this.processStartMs + 1): void {
    this.running.clear();
    this.forbidden.clear();
    this.ended = [];
    this.acknowledged = 0;
    this.#completions = 0;
    this.fence = 0;
    this.processStartMs = processStartMs;
    this.#clockStartMs = this.clock.monotonic();
  }

  /** The worker's clock, which starts anew with its process, milliseconds. */
  #clockMs(): number {
    return this.clock.monotonic() - this.#clockStartMs;
  }

  /** Whether the response to the current call is lost. */
  losesResponse(): boolean {
    if (this.lostResponses === 0) return false;
    this.lostResponses--;
    return true;
  }

  /** Carries out the start requests that got no response. */
  runDelayedStarts(): void {
    for (const request of this.delayedStarts.splice(0)) this.start(request);
  }

  /** Handles a start request. */
  start(request: StartRequest): StartResponse {
    if (request.fence < this.fence) {
      return { type: "rejected", reason: "fenced" };
    }
    this.fence = request.fence;
    if (request.leaseUntilMs < this.#clockMs()) {
      return { type: "rejected", reason: "tooLate" };
    }
    if (this.running.get(request.task)?.run === request.run) {
      return { type: "started", clockMs: this.#clockMs() };
    }
    if (request.run <= (this.forbidden.get(request.task) ?? 0)) {
      return { type: "rejected", reason: "staleRun" };
    }
    if (!this.acceptsTicket(request.ticket)) {
      return { type: "rejected", reason: "ticket" };
    }
    this.starts.push(request);
    this.running.set(request.task, {
      run: request.run,
      checkpoint: request.checkpoint,
      percent: 0,
    });
    if (this.completesInstantly) {
      this.forbidden.set(request.task, request.run);
      this.end(request.task, "done");
    }
    return { type: "started", clockMs: this.#clockMs() };
  }

  /** Stops a run, or makes the worker reject it if it is not there. */
  stop(task: string, run: number): void {
    this.stops.push({ task, run });
    this.forbidden.set(task, run);
    if (this.slowToStop) return;
    if (this.running.get(task)?.run === run) this.end(task, "stopped");
  }

  /** Removes the acknowledged completions and returns a report. */
  report(acknowledged: number): WorkerReport {
    this.acknowledged = Math.max(this.acknowledged, acknowledged);
    if (!this.keepsCompletions) {
      this.ended = this.ended.filter((end) => end.sequence > acknowledged);
    }
    const running = [...this.running].map(([task, entry]): ReportedRun => ({
      task,
      run: entry.run,
      checkpoint: entry.checkpoint,
      percent: entry.percent += this.stalled || entry.percent > 90 ? 0 : 1,
    }));
    return {
      clockMs: this.#clockMs(),
      processStartMs: this.processStartMs,
      running,
      completions: this.ended.slice(0, this.maxReported),
      mayOmitCompletions: this.ended.length >= this.maxReported,
    };
  }
}

/** Sends requests to {@linkcode FakeWorker}s. */
export class FakeWorkerClient implements WorkerClient {
  readonly workers = new Map<string, FakeWorker>();
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  start(worker: WorkerAddress, request: StartRequest): Promise<StartResponse> {
    const target = this.workers.get(worker.id);
    if (target === undefined || target.silent) {
      return Promise.resolve({ type: "unreached", message: "silent" });
    }
    if (target.delaysStarts) {
      target.delayedStarts.push(request);
      return Promise.resolve({ type: "unknown", message: "no answer" });
    }
    const response = target.start(request);
    if (target.losesResponse()) {
      return Promise.resolve({ type: "unknown", message: "lost" });
    }
    return Promise.resolve(response);
  }

  stop(
    worker: WorkerAddress,
    request: { readonly task: string; readonly run: number },
  ): Promise<boolean> {
    const target = this.workers.get(worker.id);
    if (target === undefined || target.silent) return Promise.resolve(false);
    target.stop(request.task, request.run);
    return Promise.resolve(true);
  }

  poll(
    worker: WorkerAddress,
    request: Parameters<WorkerClient["poll"]>[1],
  ): ResultAsync<WorkerReport, PollFailure> {
    return new ResultAsync(this.#poll(worker, request));
  }

  disconnect(): void {}

  async #poll(
    worker: WorkerAddress,
    request: Parameters<WorkerClient["poll"]>[1],
  ): Promise<Awaited<ReturnType<WorkerClient["poll"]>>> {
    const target = this.workers.get(worker.id);
    if (target === undefined || target.silent) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    if (request.fence < target.fence) {
      return await errAsync({ type: "fenced", message: "higher fence" });
    }
    target.fence = request.fence;
    const hasNew = target.ended.some((end) =>
      end.sequence > request.acknowledged
    );
    if (request.waitMs > 0 && !hasNew) {
      await new Promise<void>((resolve) =>
        this.#clock.after(target.maxPollMs, resolve)
      );
    }
    if (target.silent || target.losesResponse()) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    return await okAsync(target.report(request.acknowledged));
  }
}
