/**
 * A store, workers and an advice service in memory, for tests of the cell.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import type { Commit, Condition, Entry, Write } from "../ports/store.ts";
import { AdviceDesk } from "./advice_desk.ts";
import { Cell, type SubmitOutcome } from "./cell.ts";
import { laneKey, LANES } from "./lane_record.ts";
import type {
  CellStore,
  LookFailure,
  PlatformDirectory,
  ReportedEnd,
  ReportedRun,
  StartAnswer,
  StartOrder,
  WorkerAddress,
  WorkerOrders,
  WorkerReport,
} from "./ports.ts";
import type {
  ClusterSet,
  Queue,
  RecalledAdvice,
  StepSpec,
  WorkerEntry,
} from "./types.ts";

/** Longest lease in the tests, milliseconds. */
export const MAX_LEASE_MS = 6_000;

/** A store in memory that can be away or lose answers. */
export class FakeStore implements CellStore {
  readonly entries = new Map<string, Entry>();
  away = false;
  /** Transactions with a condition on one of these keys are not carried out. */
  readonly stuckKeys = new Set<string>();
  /** Transactions that take effect and are not answered. */
  loseAnswers = 0;
  revision = 1;
  commits = 0;

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    return this.away ? this.#away() : okAsync(this.entries.get(key));
  }

  list(prefix: string): ReturnType<CellStore["list"]> {
    if (this.away) return this.#away();
    const entries = [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix));
    return okAsync({ entries, revision: this.revision });
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<Commit, StoreFailure> {
    const stuck = conditions.some(({ key }) => this.stuckKeys.has(key));
    if (this.away || stuck) return this.#away();
    this.commits++;
    const broken = conditions.some((condition) =>
      (this.entries.get(condition.key)?.revision ?? 0) !== condition.revision
    );
    if (broken) {
      const entries = conditions.flatMap((condition) =>
        this.entries.get(condition.key) ?? []
      );
      return okAsync({ type: "conflict", revision: this.revision, entries });
    }
    this.revision++;
    for (const write of writes) {
      if (write.type === "delete") this.entries.delete(write.key);
      else {
        this.entries.set(write.key, {
          key: write.key,
          value: write.value,
          revision: this.revision,
        });
      }
    }
    if (this.loseAnswers > 0) {
      this.loseAnswers--;
      return errAsync({ type: "storeAnswerLost", message: "lost" });
    }
    return okAsync({ type: "committed", revision: this.revision });
  }

  changes(): ReturnType<CellStore["changes"]> {
    return okAsync({ changes: [], revision: this.revision });
  }

  #away<A>(): ResultAsync<A, StoreFailure> {
    return errAsync({ type: "storeUnreachable", message: "away" });
  }
}

/** One worker in memory, as the platform's pages describe it. */
export class FakeWorker {
  fence = 0;
  bornMs = 1;
  silent = false;
  /** Stops are confirmed, and the runs go on for a while. */
  slowToStop = false;
  /** Starts that are not answered; kept for `carryOutLate`. */
  mute = false;
  readonly late: StartOrder[] = [];
  readonly running = new Map<
    string,
    { run: number; checkpoint: string; percent: number }
  >();
  /** Acknowledgements are lost on their way. */
  keepsEnds = false;
  /** How long a report waits for an end, milliseconds. */
  reportMs = 50;
  /** Its tasks stand still. */
  stalled = false;
  readonly starts: StartOrder[] = [];
  readonly stops: { readonly task: string; readonly run: number }[] = [];
  readonly forbidden = new Map<string, number>();
  ended: ReportedEnd[] = [];
  acknowledged = 0;
  #ends = 0;
  readonly id: string;
  readonly clock: ManualClock;

  constructor(id: string, clock: ManualClock) {
    this.id = id;
    this.clock = clock;
  }

  /** Ends a run. */
  end(task: string, kind: ReportedEnd["kind"], checkpoint = ""): void {
    const running = this.running.get(task);
    if (running === undefined) return;
    this.running.delete(task);
    this.#ends++;
    this.ended.push({
      number: this.#ends,
      task,
      run: running.run,
      kind,
      checkpoint,
    });
  }

  /** Starts a process anew under the same id. */
  restart(): void {
    this.running.clear();
    this.forbidden.clear();
    this.ended = [];
    this.acknowledged = 0;
    this.#ends = 0;
    this.fence = 0;
    this.bornMs++;
  }

  /** Carries out orders that were left unanswered. */
  carryOutLate(): void {
    for (const order of this.late.splice(0)) this.start(order);
  }

  /** Takes an order. */
  start(order: StartOrder): StartAnswer {
    if (order.fence < this.fence) {
      return { type: "rejected", reason: "fenced" };
    }
    this.fence = order.fence;
    if (order.leaseUntilMs < this.clock.monotonic()) {
      return { type: "rejected", reason: "tooLate" };
    }
    if (order.run <= (this.forbidden.get(order.task) ?? 0)) {
      return { type: "rejected", reason: "staleRun" };
    }
    this.starts.push(order);
    this.running.set(order.task, {
      run: order.run,
      checkpoint: order.checkpoint,
      percent: 0,
    });
    return { type: "started", clockMs: this.clock.monotonic() };
  }

  /** Ends a run or forbids it. */
  stop(task: string, run: number): void {
    this.stops.push({ task, run });
    this.forbidden.set(task, run);
    if (this.slowToStop) return;
    if (this.running.get(task)?.run === run) this.end(task, "stopped");
  }

  /** Reports, and forgets what is acknowledged. */
  report(acknowledged: number): WorkerReport {
    this.acknowledged = Math.max(this.acknowledged, acknowledged);
    if (!this.keepsEnds) {
      this.ended = this.ended.filter((end) => end.number > acknowledged);
    }
    const running = [...this.running].map(([task, held]): ReportedRun => ({
      task,
      run: held.run,
      checkpoint: held.checkpoint,
      percent: held.percent += this.stalled || held.percent > 90 ? 0 : 1,
    }));
    return {
      clockMs: this.clock.monotonic(),
      bornMs: this.bornMs,
      running,
      ended: [...this.ended],
    };
  }
}

/** Orders to {@linkcode FakeWorker}s. */
export class FakeOrders implements WorkerOrders {
  readonly workers = new Map<string, FakeWorker>();
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  start(worker: WorkerAddress, order: StartOrder): Promise<StartAnswer> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) {
      return Promise.resolve({ type: "unreached", message: "silent" });
    }
    if (there.mute) {
      there.late.push(order);
      return Promise.resolve({ type: "unknown", message: "no answer" });
    }
    return Promise.resolve(there.start(order));
  }

  stop(
    worker: WorkerAddress,
    order: { readonly task: string; readonly run: number },
  ): Promise<boolean> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) return Promise.resolve(false);
    there.stop(order.task, order.run);
    return Promise.resolve(true);
  }

  look(
    worker: WorkerAddress,
    order: Parameters<WorkerOrders["look"]>[1],
  ): ResultAsync<WorkerReport, LookFailure> {
    return new ResultAsync(this.#look(worker, order));
  }

  forget(): void {}

  async #look(
    worker: WorkerAddress,
    order: Parameters<WorkerOrders["look"]>[1],
  ): Promise<Awaited<ReturnType<WorkerOrders["look"]>>> {
    const there = this.workers.get(worker.id);
    if (there === undefined || there.silent) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    if (order.fence < there.fence) {
      return await errAsync({ type: "fenced", message: "higher fence" });
    }
    there.fence = order.fence;
    const fresh = there.ended.some((end) => end.number > order.acknowledged);
    if (order.waitMs > 0 && !fresh) {
      await new Promise<void>((resolve) =>
        this.#clock.after(there.reportMs, resolve)
      );
    }
    if (there.silent) {
      return await errAsync({ type: "lost", message: "silent" });
    }
    return await okAsync(there.report(order.acknowledged));
  }
}

/** A queue of the tests. */
export function testQueue(change: Partial<Queue> = {}): Queue {
  return {
    name: "receipts",
    host: "shop.example",
    pathPrefix: "/receipts/",
    service: "copier",
    priority: 0,
    attempts: 3,
    stretch: 2,
    objectiveMs: 500,
    open: true,
    ...change,
  };
}

/** A step of one task with one core. */
export function testStep(change: Partial<StepSpec> = {}): StepSpec {
  return {
    tasks: 1,
    amounts: { cpuMillis: 1_000, memoryMib: 100, accelerators: 0 },
    estimateMs: 500,
    after: [],
    gang: false,
    requiredLabel: "",
    dataRack: "",
    sameRack: false,
    maxPerWorker: 0,
    longRunning: false,
    backfill: false,
    ...change,
  };
}

/** A worker's entry with four cores. */
export function testEntry(
  id: string,
  change: Partial<WorkerEntry> = {},
): WorkerEntry {
  return {
    id,
    address: `${id}:80`,
    service: "copier",
    zone: "a",
    labels: ["kind", "rack-1"],
    capacity: { cpuMillis: 4_000, memoryMib: 4_000, accelerators: 0 },
    draining: false,
    bornMs: 1,
    ...change,
  };
}

/** Everything around a cell. */
export class World {
  readonly clock = new ManualClock();
  readonly store = new FakeStore();
  readonly orders = new FakeOrders(this.clock);
  entries: WorkerEntry[] = [];
  set: ClusterSet = {
    version: 1,
    queues: [testQueue()],
    teams: [],
    maxBodyBytes: 1_000,
  };
  deposed: string[] = [];
  /** Steps about which the advice service was asked. */
  readonly questions: string[] = [];
  /** What other instances remember of advice. */
  recalled: readonly RecalledAdvice[] = [];
  fence = 0;
  confirmed = true;

  /** Lists a worker and starts its process. */
  addWorker(id: string, change: Partial<WorkerEntry> = {}): FakeWorker {
    const worker = new FakeWorker(id, this.clock);
    this.orders.workers.set(id, worker);
    this.entries.push(testEntry(id, change));
    return worker;
  }

  /** Opens a cell as the next holder and recovers it. */
  async open(): Promise<Cell> {
    this.fence++;
    const fence = this.fence;
    const lane = JSON.stringify({ fence, sequence: 0 });
    const writes = Array.from({ length: LANES }, (_, index): Write => ({
      type: "put",
      key: laneKey("cell", index),
      value: lane,
    }));
    await this.store.commit([], writes);
    const directory: PlatformDirectory = {
      workers: () =>
        this.store.away
          ? errAsync({ type: "storeUnreachable", message: "away" })
          : okAsync({ workers: this.entries, foreign: 0 }),
      configuration: () => okAsync(undefined),
      nextConfiguration: () => okAsync({ set: undefined, revision: 0 }),
    };
    const metrics = new Metrics();
    const cell = new Cell({
      name: "cell",
      fence,
      revision: this.store.revision,
      store: this.store,
      directory,
      orders: this.orders,
      desk: new AdviceDesk(
        (_instance, question) => {
          this.questions.push(question.step);
          return Promise.resolve({ type: "failed", message: "none" });
        },
        () => ["self"],
        { clock: this.clock, metrics },
      ),
      recall: () => Promise.resolve(this.recalled),
      clock: this.clock,
      log: silentLog,
      metrics,
      set: () => this.set,
      maxLeaseMs: MAX_LEASE_MS,
      retentionMs: 120_000,
      holds: () => this.confirmed,
      deposed: (why) => {
        this.deposed.push(why);
        cell.close();
      },
      confirmed: () => {},
    });
    const recovered = cell.recover();
    await this.clock.run(500);
    (await recovered)._unsafeUnwrap();
    return cell;
  }

  /** Hands a job of one queue in. */
  offer(
    cell: Cell,
    steps: readonly StepSpec[],
    id = "00000000000000aa",
  ): Promise<SubmitOutcome> {
    const spec = { payload: "text", steps };
    return cell.submit({ id, queue: "receipts", team: "", spec });
  }

  /** Hands a job of one queue in and waits for its acceptance. */
  async submit(
    cell: Cell,
    steps: readonly StepSpec[],
    id = "00000000000000aa",
  ): Promise<string> {
    const outcome = this.offer(cell, steps, id);
    await this.clock.run(100);
    return (await outcome).type;
  }
}
