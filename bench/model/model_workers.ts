/**
 * Workers in memory that run what they are told.
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

/** Life of a ticket, milliseconds. */
export const TICKET_MS = 1_500;
/** Percent of a run whose end has not been told. */
const LAST_PERCENT = 99;
/** Workers of one rack. */
const RACK = 12;

/** Entries of `count` workers in racks. */
export function workerEntries(
  count: number,
  capacity: Amounts,
): readonly WorkerEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    address: `w${index}:80`,
    service: "copier",
    zone: "a",
    labels: ["kind", `r-${Math.floor(index / RACK)}`],
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
  /** The gang that it works with. */
  gang: ModelGang | undefined;
}

interface ModelWorker {
  fence: number;
  ends: number;
  readonly running: Map<string, ModelRun>;
  usedMillis: number;
  ended: ReportedCompletion[];
  /** Last run of each task that ended or was forbidden. */
  readonly last: Map<string, number>;
  wake: () => void;
}

/** What keeps answers back at a time. */
export interface AnswerTrouble {
  /** Part of the calls that are carried out and get no answer. */
  readonly lostShare: number;
  /** Workers that get no call. */
  readonly dark: ReadonlySet<string>;
}

const NO_TROUBLE: AnswerTrouble = { lostShare: 0, dark: new Set() };
/** Time after which an order without an answer is given up, milliseconds. */
export const ORDER_GIVEN_UP_MS = 150;
/** The same for a report beyond the time that it may wait for an end, milliseconds. */
const REPORT_GIVEN_UP_MS = 400;

interface ModelGang {
  readonly members: { readonly worker: ModelWorker; readonly task: string }[];
  /** When its last member joined. */
  startedMs: number;
  /** Run time on its slowest worker, milliseconds. */
  longestMs: number;
  timer: Timer | undefined;
}

/** What model workers run. */
export interface ModelTasks {
  /** How long a task runs on a worker, milliseconds. */
  durationOf(order: StartRequest, worker: string): number;
  /** Processors that it takes, thousandths. */
  cpuMillisOf(order: StartRequest): number;
  /** Whether it ends together with the other tasks of its step and run. */
  isGang(order: StartRequest): boolean;
}

/** Workers that run what they are told; they refuse tickets that are too old. */
export class ModelWorkers implements WorkerClient {
  readonly #clock: Clock;
  readonly #tasks: ModelTasks;
  readonly #capacity: Amounts;
  readonly #random: Random;
  trouble = NO_TROUBLE;
  readonly #workers = new Map<string, ModelWorker>();
  readonly #gangs = new Map<string, ModelGang>();
  /** Starts that were taken. */
  starts = 0;
  /** Starts that brought a worker over its processors. */
  overfilled = 0;
  /** Reports that were given. */
  looks = 0;

  /** `capacity`: what each worker offers. `random` draws the answers that are lost. */
  constructor(
    clock: Clock,
    tasks: ModelTasks,
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
    order: StartRequest,
  ): Promise<StartResponse> {
    const isDark = this.trouble.dark.has(worker.id);
    const answer = isDark ? undefined : this.#carryOut(worker, order);
    if (answer !== undefined && !this.#losesAnswer()) return answer;
    await sleep(this.#clock, ORDER_GIVEN_UP_MS);
    return { type: "unknown", message: "no answer" };
  }

  #losesAnswer(): boolean {
    const { lostShare } = this.trouble;
    return lostShare > 0 && this.#random.unit() < lostShare;
  }

  #carryOut(worker: WorkerAddress, order: StartRequest): StartResponse {
    const there = this.#open(worker.id);
    if (there.running.get(order.task)?.run === order.run) {
      return { type: "started", clockMs: this.#clock.monotonic() };
    }
    if (order.run <= (there.last.get(order.task) ?? 0)) {
      return { type: "rejected", reason: "staleRun" };
    }
    const givenMs = Number(order.ticket ?? this.#clock.monotonic());
    if (this.#clock.monotonic() > givenMs + TICKET_MS) {
      return { type: "rejected", reason: "ticket" };
    }
    this.starts++;
    const cpuMillis = this.#tasks.cpuMillisOf(order);
    there.usedMillis += cpuMillis;
    if (there.usedMillis > this.#capacity.cpuMillis) this.overfilled++;
    const startedMs = this.#clock.monotonic();
    const durationMs = this.#tasks.durationOf(order, worker.id);
    there.running.set(order.task, {
      run: order.run,
      startedMs,
      durationMs,
      cpuMillis,
      gang: undefined,
    });
    if (this.#tasks.isGang(order)) this.#join(there, order, durationMs);
    else {
      this.#clock.after(durationMs, () => this.#finish(there, order));
    }
    return { type: "started", clockMs: this.#clock.monotonic() };
  }

  stop(
    worker: WorkerAddress,
    order: { readonly task: string; readonly run: number },
  ) {
    if (this.trouble.dark.has(worker.id)) return Promise.resolve(false);
    const there = this.#open(worker.id);
    there.last.set(
      order.task,
      Math.max(order.run, there.last.get(order.task) ?? 0),
    );
    this.#end(there, order.task, "stopped");
    return Promise.resolve(true);
  }

  poll(
    worker: WorkerAddress,
    order: Parameters<WorkerClient["poll"]>[1],
  ): ResultAsync<WorkerReport, PollFailure> {
    this.looks++;
    if (this.trouble.dark.has(worker.id) || this.#losesAnswer()) {
      const lost = sleep(this.#clock, order.waitMs + REPORT_GIVEN_UP_MS);
      return ResultAsync.fromSafePromise(lost).andThen(() =>
        errAsync({ type: "lost" as const, message: "no answer" })
      );
    }
    const there = this.#open(worker.id);
    if (order.fence < there.fence) {
      return errAsync({ type: "fenced", message: "higher fence" });
    }
    there.fence = order.fence;
    there.ended = there.ended.filter((end) =>
      end.sequence > order.acknowledged
    );
    const report = () => this.#report(there);
    if (order.waitMs === 0 || there.ended.length > 0) {
      return okAsync(report());
    }
    const woken = new Promise<void>((resolve) => there.wake = resolve);
    const limit = sleep(this.#clock, order.waitMs);
    return ResultAsync.fromSafePromise(
      Promise.race([woken, limit]).then(report),
    );
  }

  disconnect(): void {}

  #open(id: string): ModelWorker {
    const known = this.#workers.get(id) ?? {
      fence: 0,
      ends: 0,
      running: new Map(),
      usedMillis: 0,
      ended: [],
      last: new Map(),
      wake: () => {},
    };
    this.#workers.set(id, known);
    return known;
  }

  /** A gang works from the start of its last member on, and ends as one. */
  #join(worker: ModelWorker, order: StartRequest, durationMs: number): void {
    const name = `${
      order.task.slice(0, order.task.lastIndexOf("."))
    } ${order.run}`;
    const gang = this.#gangs.get(name) ??
      { members: [], startedMs: 0, longestMs: 0, timer: undefined };
    this.#gangs.set(name, gang);
    worker.running.get(order.task)!.gang = gang;
    gang.startedMs = this.#clock.monotonic();
    gang.members.push({ worker, task: order.task });
    gang.longestMs = Math.max(gang.longestMs, durationMs);
    gang.timer?.cancel();
    gang.timer = this.#clock.after(gang.longestMs, () => {
      this.#gangs.delete(name);
      for (const member of gang.members) {
        this.#finish(member.worker, { task: member.task, run: order.run });
      }
    });
  }

  /** Ends a run unless it was stopped meanwhile and its task started again. */
  #finish(
    worker: ModelWorker,
    { task, run }: { readonly task: string; readonly run: number },
  ): void {
    if (worker.running.get(task)?.run === run) this.#end(worker, task, "done");
  }

  #end(
    worker: ModelWorker,
    task: string,
    kind: ReportedCompletion["kind"],
  ): void {
    const running = worker.running.get(task);
    if (running === undefined) return;
    const { run, cpuMillis } = running;
    worker.running.delete(task);
    worker.last.set(task, Math.max(run, worker.last.get(task) ?? 0));
    worker.usedMillis -= cpuMillis;
    const number = ++worker.ends;
    worker.ended.push({ sequence: number, task, run, kind, checkpoint: "" });
    worker.wake();
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
      completions: [...worker.ended],
    };
  }

  /** The members of a gang go on together, as fast as the slowest. */
  #percentOf({ startedMs, durationMs, gang }: ModelRun): number {
    const beganMs = gang?.startedMs ?? startedMs;
    const lastsMs = gang?.longestMs ?? durationMs;
    const elapsedMs = this.#clock.monotonic() - beganMs;
    return Math.min(LAST_PERCENT, 100 * elapsedMs / lastsMs);
  }
}
