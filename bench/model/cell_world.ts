/**
 * Workers, a store and an advice service in memory that answer in real time,
 * for the cost of one holder without its connections.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/clock.ts";
import { sleep } from "../../src/clock.ts";
import type { Question } from "../../src/cell/advice_desk.ts";
import type {
  CellStore,
  LookFailure,
  ReportedEnd,
  StartOrder,
  WorkerAddress,
  WorkerOrders,
  WorkerReport,
} from "../../src/cell/ports.ts";
import type { Advice, WorkerEntry } from "../../src/cell/types.ts";
import type { Entry } from "../../src/ports/store.ts";
import type { Random } from "../random.ts";

/** Time that the store takes for an answer, milliseconds. */
const STORE_MS = 5;
/** Workers of one rack. */
const RACK = 12;
/** Capacity of a worker of the users' platform. */
const CAPACITY = { cpuMillis: 64_000, memoryMib: 262_144, accelerators: 0 };

/** A store that holds what is written and answers after {@linkcode STORE_MS}. */
export function slowStore(clock: Clock): CellStore {
  const entries = new Map<string, Entry>();
  let revision = 1;
  const after = <A>(value: () => A) =>
    ResultAsync.fromSafePromise(sleep(clock, STORE_MS).then(value));
  return {
    get: (key) => after(() => entries.get(key)),
    list: (prefix) =>
      after(() => ({
        entries: [...entries.values()].filter((one) =>
          one.key.startsWith(prefix)
        ),
        revision,
      })),
    commit: (_conditions, writes) =>
      after(() => {
        revision++;
        for (const write of writes) {
          const { key } = write;
          if (write.type === "delete") entries.delete(key);
          else entries.set(key, { key, value: write.value, revision });
        }
        return { type: "committed", revision };
      }),
    changes: () => after(() => ({ changes: [], revision })),
  };
}

/** Entries of `count` workers in racks. */
export function workerEntries(count: number): readonly WorkerEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    address: `w${index}:80`,
    service: "copier",
    zone: "a",
    labels: ["kind", `r-${Math.floor(index / RACK)}`],
    capacity: CAPACITY,
    draining: false,
    bornMs: 1,
  }));
}

interface ModelWorker {
  fence: number;
  ends: number;
  readonly running: Map<string, number>;
  ended: ReportedEnd[];
  wake: () => void;
}

/** Workers that run what they are told for as long as `durationOf` says. */
export class ModelWorkers implements WorkerOrders {
  readonly #clock: Clock;
  readonly #durationOf: (order: StartOrder) => number;
  readonly #workers = new Map<string, ModelWorker>();
  /** Starts that were taken. */
  starts = 0;
  /** Reports that were given. */
  looks = 0;

  constructor(clock: Clock, durationOf: (order: StartOrder) => number) {
    this.#clock = clock;
    this.#durationOf = durationOf;
  }

  start(worker: WorkerAddress, order: StartOrder) {
    const there = this.#open(worker.id);
    this.starts++;
    there.running.set(order.task, order.run);
    this.#clock.after(
      this.#durationOf(order),
      () => this.#end(there, order.task, "done"),
    );
    const clockMs = this.#clock.monotonic();
    return Promise.resolve({ type: "started", clockMs } as const);
  }

  stop(worker: WorkerAddress, order: { readonly task: string }) {
    this.#end(this.#open(worker.id), order.task, "stopped");
    return Promise.resolve(true);
  }

  look(
    worker: WorkerAddress,
    order: Parameters<WorkerOrders["look"]>[1],
  ): ResultAsync<WorkerReport, LookFailure> {
    this.looks++;
    const there = this.#open(worker.id);
    if (order.fence < there.fence) {
      return errAsync({ type: "fenced", message: "higher fence" });
    }
    there.fence = order.fence;
    there.ended = there.ended.filter((end) => end.number > order.acknowledged);
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

  forget(): void {}

  #open(id: string): ModelWorker {
    const known = this.#workers.get(id) ??
      { fence: 0, ends: 0, running: new Map(), ended: [], wake: () => {} };
    this.#workers.set(id, known);
    return known;
  }

  #end(worker: ModelWorker, task: string, kind: ReportedEnd["kind"]): void {
    const run = worker.running.get(task);
    if (run === undefined) return;
    worker.running.delete(task);
    const number = ++worker.ends;
    worker.ended.push({ number, task, run, kind, checkpoint: "" });
    worker.wake();
  }

  #report(worker: ModelWorker): WorkerReport {
    return {
      clockMs: this.#clock.monotonic(),
      bornMs: 1,
      running: [...worker.running].map(([task, run]) => ({
        task,
        run,
        checkpoint: "",
        percent: 50,
      })),
      ended: [...worker.ended],
    };
  }
}

/** Advice that takes its expected time and finds a share of the workers good. */
export function slowAdvice(
  clock: Clock,
  { random, goodShare }: {
    readonly random: Random;
    readonly goodShare: (step: string) => number;
  },
): (instance: string, question: Question) => Promise<Advice> {
  const verdicts = new Map<string, boolean>();
  const isGood = (step: string, worker: string) => {
    const key = `${step} ${worker}`;
    const known = verdicts.get(key) ?? random.unit() < goodShare(step);
    verdicts.set(key, known);
    return known;
  };
  return async (_instance, { step, workers, expectedMs }) => {
    await sleep(clock, expectedMs);
    const good = workers.filter((worker) => isGood(step, worker));
    const tickets = new Map(good.map((worker) => [worker, "ticket"]));
    return { type: "advised", tickets };
  };
}
