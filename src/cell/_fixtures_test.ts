/**
 * Test harness of a cell: a store, workers and an advice service in memory.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { type Log, silentLog } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { FakeWorker, FakeWorkerClient } from "./_fake_workers_test.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import { Cell } from "./cell.ts";
import type { CellOptions } from "./cell_options.ts";
import { leaderRecordKey } from "./leader_record.ts";
import type { EvacuationState, PlatformDirectory } from "./ports.ts";
import type { SubmitOutcome } from "./submission.ts";
import type {
  CachedAdvice,
  ClusterSet,
  Queue,
  StepSpec,
  WorkerEntry,
} from "./types.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

/** Longest lease in the tests, milliseconds. */
export const MAX_LEASE_MS = 6_000;

/** A queue with the service, host and objective that the tests use. */
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

/** A step of one task that needs one core. */
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

/** The list entry of a worker with four cores. */
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
    processStartMs: 1,
    coldLeftMs: 0,
    ...change,
  };
}

/** Everything that a cell depends on, in memory. */
export class Harness {
  readonly clock: ManualClock;
  readonly store = new FakeStore();
  readonly workerClient: FakeWorkerClient;
  entries: WorkerEntry[] = [];
  set: ClusterSet = {
    version: 1,
    queues: [testQueue()],
    teams: [],
    maxBodyBytes: 1_000,
  };
  stepDownReasons: string[] = [];
  /** Steps for which advice was requested. */
  readonly adviceRequests: string[] = [];
  /** Advice that the instances have cached. */
  cachedAdvice: readonly CachedAdvice[] = [];
  fence = 0;
  isLeading = true;
  log: Log = silentLog;
  /** Evacuations in the store: zones and their revisions. */
  readonly evacuated = new Map<string, number>();
  /** Time limit of an evacuation, milliseconds; `undefined` for none. */
  evacuateMs: number | undefined;
  /** Evacuations as known to the last leader's process. */
  evacuations: ZoneEvacuations | undefined;
  /** Number of times that the evacuations were read. */
  evacuationReads = 0;
  /** Metrics of the last leader. */
  metrics = new Metrics();

  constructor(clock = new ManualClock()) {
    this.clock = clock;
    this.workerClient = new FakeWorkerClient(clock);
  }

  /** Adds a worker to the list and starts its process. */
  addWorker(id: string, change: Partial<WorkerEntry> = {}): FakeWorker {
    const worker = new FakeWorker(id, this.clock);
    this.workerClient.workers.set(id, worker);
    this.entries.push(testEntry(id, change));
    return worker;
  }

  /** Opens a cell as the next leader and recovers its state. */
  async open(change: Partial<CellOptions> = {}): Promise<Cell> {
    this.fence++;
    const fence = this.fence;
    const value = JSON.stringify({ fence });
    await this.store.commit([], [
      { type: "put", key: leaderRecordKey("cell"), value },
    ]);
    const directory: PlatformDirectory = {
      workers: () =>
        this.store.unavailable
          ? errAsync({ type: "storeUnreachable", message: "away" })
          : okAsync({ workers: this.entries, foreign: 0 }),
      operatorState: () =>
        this.evacuationState()
          .map((state) => ({ ...state, set: this.set })),
      nextOperatorUpdate: () =>
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
      workerClient: this.workerClient,
      adviceDispatcher: new AdviceDispatcher(
        (_instance, request) => {
          this.adviceRequests.push(request.step);
          return Promise.resolve({ type: "failed", message: "none" });
        },
        () => ["self"],
        { clock: this.clock, metrics },
      ),
      recoverAdvice: () => Promise.resolve(this.cachedAdvice),
      clock: this.clock,
      log: this.log,
      metrics,
      set: () => this.set,
      evacuations,
      maxLeaseMs: MAX_LEASE_MS,
      retentionMs: 120_000,
      settleMs: 14_000,
      isLeading: () => this.isLeading,
      stepDown: (reason) => {
        this.stepDownReasons.push(reason);
        cell.close();
      },
      onLeadershipConfirmed: () => {},
      ...change,
    });
    const recovered = cell.recover();
    await this.clock.run(500);
    (await recovered)._unsafeUnwrap();
    return cell;
  }

  /**
   * Evacuates or restores a zone in the store. No process sees the change yet.
   */
  evacuate(zone: string, wanted = true): void {
    const revision = ++this.store.revision;
    if (wanted) this.evacuated.set(zone, revision);
    else this.evacuated.delete(zone);
  }

  /**
   * Passes the evacuations in the store on to the last leader's process, as its
   * watch would.
   */
  deliverEvacuations(): void {
    this.evacuations?.replace(this.#zonesNow(), {
      readMs: this.clock.monotonic(),
    });
  }

  /** Reads the evacuations from the store. */
  evacuationState(): ResultAsync<EvacuationState, StoreFailure> {
    this.evacuationReads++;
    return this.store.unavailable
      ? errAsync({ type: "storeUnreachable", message: "away" })
      : okAsync(this.#zonesNow());
  }

  #zonesNow(): EvacuationState {
    const evacuations = [...this.evacuated]
      .map(([zone, revision]) => ({ zone, revision }));
    return { evacuations, revision: this.store.revision };
  }

  /** Submits a job to the queue `receipts`. */
  beginSubmit(
    cell: Cell,
    steps: readonly StepSpec[],
    id = "00000000000000aa",
  ): Promise<SubmitOutcome> {
    const spec = { payload: "text", steps };
    return cell.submit({ id, queue: "receipts", team: "", spec });
  }

  /** Submits a job to the queue `receipts` and waits for its acceptance. */
  async submit(
    cell: Cell,
    steps: readonly StepSpec[],
    id = "00000000000000aa",
  ): Promise<string> {
    const outcome = this.beginSubmit(cell, steps, id);
    await this.clock.run(100);
    return (await outcome).type;
  }
}
