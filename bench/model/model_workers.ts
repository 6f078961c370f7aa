/**
 * Simulated workers that execute start, stop and poll requests in memory.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type {
  PollFailure,
  ReportedCompletion,
  StartRequest,
  StartResponse,
  WorkerAddress,
  WorkerClient,
  WorkerReport,
} from "../../src/cell/ports.ts";
import type { Amounts, WorkerEntry } from "../../src/cell/types.ts";
import { type Clock, sleep, type Timer } from "../../src/clock.ts";
import type { Random } from "../random.ts";

/** Validity of a ticket, milliseconds. */
export const TICKET_VALIDITY_MS = 1_500;
/** Highest progress reported for a run that has not completed. */
const MAX_REPORTED_PERCENT = 99;
/** Maximum number of completions in a report, the oldest first. */
const MAX_REPORTED = 500;
/** Workers per rack. */
const WORKERS_PER_RACK = 12;

/** Fleet list entries of `count` workers, spread over racks. */
export function workerEntries(
  count: number,
  capacity: Amounts,
): readonly WorkerEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    address: `w${index}:80`,
    service: "copier",
    zone: "a",
    labels: ["kind", `r-${Math.floor(index / WORKERS_PER_RACK)}`],
    capacity,
    draining: false,
    processStartMs: 1,
    coldLeftMs: 0,
  }));
}

interface ModelRun {
  readonly run: number;
  readonly startedMs: number;
  readonly durationMs: number;
  readonly cpuMillis: number;
  /** The gang that the run belongs to. */
  gang: ModelGang | undefined;
}

interface ModelWorker {
  fence: number;
  completionCount: number;
  readonly running: Map<string, ModelRun>;
  usedMillis: number;
  completions: ReportedCompletion[];
  /** Highest run of each task that ended or was stopped; a start of it or an earlier one is rejected. */
  readonly highestEndedRun: Map<string, number>;
  notifyPoll: () => void;
}

/** Faults that are injected at present. */
export interface ResponseFaults {
  /** Share of the requests that are executed and whose response is lost. */
  readonly lostResponseShare: number;
  /** Ids of the workers that no request reaches. */
  readonly unreachable: ReadonlySet<string>;
}

const NO_FAULTS: ResponseFaults = {
  lostResponseShare: 0,
  unreachable: new Set(),
};
/** Timeout of start requests, milliseconds. */
export const START_TIMEOUT_MS = 150;
/** Timeout of polls, on top of the time that they may wait for a completion, milliseconds. */
const POLL_TIMEOUT_MS = 400;

interface ModelGang {
  readonly members: { readonly worker: ModelWorker; readonly task: string }[];
  /** When the last member joined. */
  startedMs: number;
  /** Run time on the slowest worker of the gang, milliseconds. */
  maxDurationMs: number;
  timer: Timer | undefined;
}

/** Properties of the tasks that the workers run. */
export interface TaskModel {
  /** Run time of a task on a worker, milliseconds. */
  durationOf(request: StartRequest, worker: string): number;
  /** Processor use of a task, thousandths of a core. */
  cpuMillisOf(request: StartRequest): number;
  /** Whether the tasks of a step and run complete together. */
  isGang(request: StartRequest): boolean;
}

/** Simulated workers; a start with an expired ticket is rejected. */
export class ModelWorkers implements WorkerClient {
  readonly #clock: Clock;
  readonly #tasks: TaskModel;
  readonly #capacity: Amounts;
  readonly #random: Random;
  faults = NO_FAULTS;
  readonly #workers = new Map<string, ModelWorker>();
  readonly #gangs = new Map<string, ModelGang>();
  /** Number of accepted starts. */
  starts = 0;
  /** Number of starts that exceeded the processors of a worker. */
  overcommitted = 0;
  /** Number of polls. */
  polls = 0;

  /** `capacity` is that of each worker; `random` selects the responses that are lost. */
  constructor(
    clock: Clock,
    tasks: TaskModel,
    { capacity, random }: {
      readonly capacity: Amounts;
      readonly random: Random;
    },
  ) {
    this.#clock = clock;
    this.#tasks = tasks;
    this.#capacity = capacity;
    this.#random = random;
  }

  async start(
    worker: WorkerAddress,
    request: StartRequest,
  ): Promise<StartResponse> {
    const isUnreachable = this.faults.unreachable.has(worker.id);
    const response = isUnreachable
      ? undefined
      : this.#handleStart(worker, request);
    if (response !== undefined && !this.#losesResponse()) return response;
    await sleep(this.#clock, START_TIMEOUT_MS);
    return { type: "unknown", message: "no response" };
  }

  #losesResponse(): boolean {
    const { lostResponseShare } = this.faults;
    return lostResponseShare > 0 && this.#random.uniform() < lostResponseShare;
  }

  #handleStart(worker: WorkerAddress, request: StartRequest): StartResponse {
    const state = this.#workerState(worker.id);
    if (state.running.get(request.task)?.run === request.run) {
      return { type: "started", clockMs: this.#clock.monotonic() };
    }
    if (request.run <= (state.highestEndedRun.get(request.task) ?? 0)) {
      return { type: "rejected", reason: "staleRun" };
    }
    const issuedMs = Number(request.ticket ?? this.#clock.monotonic());
    if (this.#clock.monotonic() > issuedMs + TICKET_VALIDITY_MS) {
      return { type: "rejected", reason: "ticket" };
    }
    this.starts++;
    const cpuMillis = this.#tasks.cpuMillisOf(request);
    state.usedMillis += cpuMillis;
    if (state.usedMillis > this.#capacity.cpuMillis) this.overcommitted++;
    const startedMs = this.#clock.monotonic();
    const durationMs = this.#tasks.durationOf(request, worker.id);
    state.running.set(request.task, {
      run: request.run,
      startedMs,
      durationMs,
      cpuMillis,
      gang: undefined,
    });
    if (this.#tasks.isGang(request)) this.#joinGang(state, request, durationMs);
    else {
      this.#clock.after(durationMs, () => this.#finish(state, request));
    }
    return { type: "started", clockMs: this.#clock.monotonic() };
  }

  stop(
    worker: WorkerAddress,
    request: { readonly task: string; readonly run: number },
  ) {
    if (this.faults.unreachable.has(worker.id)) return Promise.resolve(false);
    const state = this.#workerState(worker.id);
    state.highestEndedRun.set(
      request.task,
      Math.max(request.run, state.highestEndedRun.get(request.task) ?? 0),
    );
    this.#complete(state, request.task, "stopped");
    return Promise.resolve(true);
  }

  poll(
    worker: WorkerAddress,
    request: Parameters<WorkerClient["poll"]>[1],
  ): ResultAsync<WorkerReport, PollFailure> {
    this.polls++;
    if (this.faults.unreachable.has(worker.id) || this.#losesResponse()) {
      const lost = sleep(this.#clock, request.waitMs + POLL_TIMEOUT_MS);
      return ResultAsync.fromSafePromise(lost).andThen(() =>
        errAsync({ type: "lost" as const, message: "no response" })
      );
    }
    const state = this.#workerState(worker.id);
    if (request.fence < state.fence) {
      return errAsync({ type: "fenced", message: "higher fence" });
    }
    state.fence = request.fence;
    state.completions = state.completions.filter((completion) =>
      completion.sequence > request.acknowledged
    );
    const report = () => this.#report(state);
    if (request.waitMs === 0 || state.completions.length > 0) {
      return okAsync(report());
    }
    const woken = new Promise<void>((resolve) => state.notifyPoll = resolve);
    const limit = sleep(this.#clock, request.waitMs);
    return ResultAsync.fromSafePromise(
      Promise.race([woken, limit]).then(report),
    );
  }

  disconnect(): void {}

  /** Ids of the jobs that have a task running. */
  runningJobs(): ReadonlySet<string> {
    const tasks = [...this.#workers.values()].flatMap(({ running }) => [
      ...running.keys(),
    ]);
    return new Set(tasks.map((task) => task.slice(0, task.indexOf("."))));
  }

  /** Processors in use on all workers, thousandths of a core. */
  get usedMillis(): number {
    return [...this.#workers.values()]
      .reduce((sum, { usedMillis }) => sum + usedMillis, 0);
  }

  #workerState(id: string): ModelWorker {
    const known = this.#workers.get(id) ?? {
      fence: 0,
      completionCount: 0,
      running: new Map(),
      usedMillis: 0,
      completions: [],
      highestEndedRun: new Map(),
      notifyPoll: () => {},
    };
    this.#workers.set(id, known);
    return known;
  }

  /** Adds a run to its gang. The gang runs from the start of its last member and completes as a whole. */
  #joinGang(
    worker: ModelWorker,
    request: StartRequest,
    durationMs: number,
  ): void {
    const name = `${
      request.task.slice(0, request.task.lastIndexOf("."))
    } ${request.run}`;
    const gang = this.#gangs.get(name) ??
      { members: [], startedMs: 0, maxDurationMs: 0, timer: undefined };
    this.#gangs.set(name, gang);
    worker.running.get(request.task)!.gang = gang;
    gang.startedMs = this.#clock.monotonic();
    gang.members.push({ worker, task: request.task });
    gang.maxDurationMs = Math.max(gang.maxDurationMs, durationMs);
    gang.timer?.cancel();
    gang.timer = this.#clock.after(gang.maxDurationMs, () => {
      this.#gangs.delete(name);
      for (const member of gang.members) {
        this.#finish(member.worker, { task: member.task, run: request.run });
      }
    });
  }

  /** Completes a run, unless it was stopped and the task has been started again since. */
  #finish(
    worker: ModelWorker,
    { task, run }: { readonly task: string; readonly run: number },
  ): void {
    if (worker.running.get(task)?.run === run) {
      this.#complete(worker, task, "done");
    }
  }

  #complete(
    worker: ModelWorker,
    task: string,
    kind: ReportedCompletion["kind"],
  ): void {
    const running = worker.running.get(task);
    if (running === undefined) return;
    const { run, cpuMillis } = running;
    worker.running.delete(task);
    worker.highestEndedRun.set(
      task,
      Math.max(run, worker.highestEndedRun.get(task) ?? 0),
    );
    worker.usedMillis -= cpuMillis;
    const number = ++worker.completionCount;
    worker.completions.push({
      sequence: number,
      task,
      run,
      kind,
      checkpoint: "",
    });
    worker.notifyPoll();
  }

  #report(worker: ModelWorker): WorkerReport {
    return {
      clockMs: this.#clock.monotonic(),
      processStartMs: 1,
      running: [...worker.running].map(([task, running]) => ({
        task,
        run: running.run,
        checkpoint: "",
        percent: this.#percentOf(running),
      })),
      completions: worker.completions.slice(0, MAX_REPORTED),
      mayOmitCompletions: worker.completions.length >= MAX_REPORTED,
    };
  }

  /** Progress of a run; the members of a gang progress at the speed of the slowest. */
  #percentOf({ startedMs, durationMs, gang }: ModelRun): number {
    const beganMs = gang?.startedMs ?? startedMs;
    const lastsMs = gang?.maxDurationMs ?? durationMs;
    const elapsedMs = this.#clock.monotonic() - beganMs;
    return Math.min(MAX_REPORTED_PERCENT, 100 * elapsedMs / lastsMs);
  }
}
