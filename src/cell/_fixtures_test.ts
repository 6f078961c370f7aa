/**
 * A store, workers and an advice service in memory, for tests of the cell.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { type Log, silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { FakeOrders, FakeWorker } from "./_fake_workers_test.ts";
import { AdviceDesk } from "./advice_desk.ts";
import { Cell } from "./cell.ts";
import type { CellOptions } from "./cell_options.ts";
import { recordKey } from "./cell_record.ts";
import type { EvacuationState, PlatformDirectory } from "./ports.ts";
import type { SubmitOutcome } from "./submission.ts";
import type {
  ClusterSet,
  Queue,
  RecalledAdvice,
  StepSpec,
  WorkerEntry,
} from "./types.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

/** Longest lease in the tests, milliseconds. */
export const MAX_LEASE_MS = 6_000;

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
    coldLeftMs: 0,
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
  log: Log = silentLog;
  /** Evacuations as the store has them, zone and revision. */
  readonly evacuated = new Map<string, number>();
  /** Bound on an evacuation, milliseconds. */
  evacuateMs: number | undefined;
  /** What the last holder's process knows of them. */
  evacuations: ZoneEvacuations | undefined;
  /** Readings of the evacuations. */
  evacuationsRead = 0;
  /** Metrics of the last holder. */
  metrics = new Metrics();

  /** Lists a worker and starts its process. */
  addWorker(id: string, change: Partial<WorkerEntry> = {}): FakeWorker {
    const worker = new FakeWorker(id, this.clock);
    this.orders.workers.set(id, worker);
    this.entries.push(testEntry(id, change));
    return worker;
  }

  /** Opens a cell as the next holder and recovers it. */
  async open(change: Partial<CellOptions> = {}): Promise<Cell> {
    this.fence++;
    const fence = this.fence;
    const value = JSON.stringify({ fence });
    await this.store.commit([], [
      { type: "put", key: recordKey("cell"), value },
    ]);
    const directory: PlatformDirectory = {
      workers: () =>
        this.store.away
          ? errAsync({ type: "storeUnreachable", message: "away" })
          : okAsync({ workers: this.entries, foreign: 0 }),
      operators: () =>
        this.evacuationState()
          .map((state) => ({ ...state, set: this.set })),
      nextOperators: () =>
        this.evacuationState()
          .map((state) => ({ type: "state", ...state, set: undefined })),
      evacuations: () => this.evacuationState(),
    };
    const evacuations = new ZoneEvacuations({
      clock: this.clock,
      log: this.log,
      evacuateMs: this.evacuateMs,
    });
    this.evacuations = evacuations;
    const metrics = new Metrics();
    this.metrics = metrics;
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
      log: this.log,
      metrics,
      set: () => this.set,
      evacuations,
      maxLeaseMs: MAX_LEASE_MS,
      retentionMs: 120_000,
      holds: () => this.confirmed,
      deposed: (why) => {
        this.deposed.push(why);
        cell.close();
      },
      confirmed: () => {},
      ...change,
    });
    const recovered = cell.recover();
    await this.clock.run(500);
    (await recovered)._unsafeUnwrap();
    return cell;
  }

  /** Asks for an evacuation at the store, or withdraws it; no process sees it yet. */
  evacuate(zone: string, wanted = true): void {
    const revision = ++this.store.revision;
    if (wanted) this.evacuated.set(zone, revision);
    else this.evacuated.delete(zone);
  }

  /** Brings the store's evacuations to the last holder's process, as its watch does. */
  tellZones(): void {
    this.evacuations?.replace(this.#zonesNow(), {
      readMs: this.clock.monotonic(),
    });
  }

  /** Reads the evacuations from the store. */
  evacuationState(): ResultAsync<EvacuationState, StoreFailure> {
    this.evacuationsRead++;
    return this.store.away
      ? errAsync({ type: "storeUnreachable", message: "away" })
      : okAsync(this.#zonesNow());
  }

  #zonesNow(): EvacuationState {
    const evacuations = [...this.evacuated]
      .map(([zone, revision]) => ({ zone, revision }));
    return { evacuations, revision: this.store.revision };
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
