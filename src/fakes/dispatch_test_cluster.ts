/**
 * Test cluster for dispatching: instances with their dispatch controllers,
 * in-memory workers and network, and one clock.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ManualClock } from "../clock.ts";
import { Fleet } from "../controllers/fleet.ts";
import { GangScheduler } from "../controllers/gang_scheduler.ts";
import { Matching } from "../controllers/matching.ts";
import {
  OwnedWorkers,
  WORKER_UNIT_PREFIX,
} from "../controllers/owned_workers.ts";
import { Placement, type RunObserver } from "../controllers/placement.ts";
import {
  type CallerRequest,
  RequestDispatcher,
} from "../controllers/request_dispatcher.ts";
import {
  type ReportCompletion,
  TaskSupervisor,
} from "../controllers/task_supervisor.ts";
import { TaskDispatcher } from "../controllers/task_dispatcher.ts";
import { TaskSizes } from "../controllers/task_sizes.ts";
import { WorkerHealth } from "../controllers/worker_health.ts";
import { silentLog } from "../logger.ts";
import type { Queue, Workload } from "../operator_set.ts";
import { largestRequestOf } from "../operator_set/largest_request.ts";
import { WorkerPool } from "../policy/worker_pool.ts";
import { Shares } from "../policy/shares.ts";
import { type WaitingItem, WaitingQueue } from "../policy/waiting_queue.ts";
import { RetryTokenBucket } from "../retry_budget.ts";
import type { Resources, Worker } from "../types.ts";
import {
  MemoryAllowances,
  MemoryAuthority,
  MemoryOwnershipMap,
} from "./memory_authority.ts";
import { MemoryAttempts } from "./memory_attempts.ts";
import { MemoryList } from "./memory_list.ts";
import { MemoryNetwork, type MemoryPeers } from "./memory_peers.ts";
import { MemoryUpstream, type MemoryWorker } from "./memory_upstream.ts";

const CAPACITY: Resources = {
  cpuMillis: 8_000,
  memoryMib: 8_000,
  accelerators: 0,
  slots: 8,
};

/** Default resources of a request. */
export const NEED: Resources = {
  cpuMillis: 1_000,
  memoryMib: 1_000,
  accelerators: 0,
  slots: 1,
};

const BILLING: Workload = {
  kind: "batch",
  name: "billing",
  queue: "month-end",
  resources: NEED,
  idempotent: true,
  timeoutMs: 1_000,
  attempts: 3,
  dueMs: 60_000,
};

const RECEIPTS: Workload = {
  kind: "service",
  name: "receipts",
  queue: "counter",
  resources: NEED,
  idempotent: false,
  timeoutMs: 1_000,
  attempts: 3,
  path: "/",
  replicas: 0,
};

const MONTH_END_QUEUE = { name: "month-end", urgency: "deferred" } as Queue;

type TaskCompletion = Parameters<ReportCompletion>[0];

/** One instance with its dispatch controllers. */
export class DispatchInstance {
  readonly pool = new WorkerPool();
  readonly allowances = new MemoryAllowances();
  readonly retryBudget = new RetryTokenBucket();
  readonly queue = new WaitingQueue(() => ({
    maxWaiting: 1_000,
    maxWaitingPerTeam: 1_000,
  }));
  readonly shares = new Shares();
  readonly authority: MemoryAuthority;
  readonly peers: MemoryPeers;
  readonly workers: OwnedWorkers;
  readonly placement: Placement;
  readonly matching: Matching;
  readonly requests: RequestDispatcher;
  readonly taskSupervisor: TaskSupervisor;
  readonly tasks: TaskDispatcher;
  readonly gangs: GangScheduler;
  readonly attempts = new MemoryAttempts();
  /** Completions that were reported to the origin instance. */
  readonly reportedCompletions: TaskCompletion[] = [];
  /** Whether the origin instance acknowledges reported completions. */
  acknowledgesCompletions = true;
  /** Whether new requests are expected to be answered before their deadlines. */
  canAnswerInTime = true;

  constructor(cluster: DispatchTestCluster, id: string) {
    const { clock, upstream, fleet } = cluster;
    const { pool, allowances, queue, shares, retryBudget } = this;
    const log = silentLog;
    const observer: RunObserver = {
      runEnded: (worker, run) => this.workers.runEnded(worker, run),
    };
    const members = () =>
      [...cluster.nodes.keys()].filter((other) => other !== id);
    this.authority = new MemoryAuthority(id, cluster.map);
    this.peers = cluster.network.join(id);
    const { authority, peers } = this;
    const workerHealth = new WorkerHealth({ peers, members, clock, log });
    this.workers = new OwnedWorkers({
      workerHealth,
      maxRequestResources: () => largestRequestOf(cluster.workloads.values()),
      authority,
      fleet,
      pool,
      upstream,
      clock,
      log,
      isDrained: () => false,
    });
    const { workers } = this;
    const common = { pool, allowances, upstream, clock, log, observer };
    const workloadOf = (name: string) => cluster.workloads.get(name);
    this.placement = new Placement({
      ...common,
      authority,
      workers,
      workloadOf,
    });
    const { placement } = this;
    const sizes = new TaskSizes({
      workers,
      fleet,
      upstream,
      log,
      workloadOf,
      queueOf: () => MONTH_END_QUEUE,
      rankOf: (team) => shares.rank(team),
    });
    placement.setSizeOf((task) => sizes.sizeOf(task));
    this.matching = new Matching({
      placement,
      allowances,
      limitedTeams: () => allowances.limits.keys(),
      pool,
      queue,
      shares,
      peers,
      clock,
      members,
    });
    this.requests = new RequestDispatcher({
      matching: this.matching,
      placement,
      peers,
      clock,
      log,
      retryBudget,
      retryAfterMs: () => 100,
      canAnswerInTime: () => this.canAnswerInTime,
      onDispatched: () => {},
    });
    this.taskSupervisor = new TaskSupervisor({
      ...common,
      placement,
      workers,
      peers,
      reportCompletion: (ended) => {
        this.reportedCompletions.push(ended);
        return Promise.resolve(this.acknowledgesCompletions);
      },
    });
    const { matching, taskSupervisor, attempts } = this;
    const generator = xoroshiro128plus(cluster.nodes.size);
    this.tasks = new TaskDispatcher({
      self: id,
      authority,
      matching,
      placement,
      taskSupervisor,
      fleet,
      peers,
      clock,
      log,
      workloadOf,
      queueOf: () => MONTH_END_QUEUE,
    });
    this.gangs = new GangScheduler({
      tasks: this.tasks,
      deferred: attempts,
      clock,
      random: () => uniformFloat64(generator),
      log,
      workloadOf,
      owners: () => [...cluster.nodes.keys()].sort(),
    });
    this.tasks.connect(attempts, this.gangs);
  }
}

/** A test cluster of instances with their network and workers. */
export class DispatchTestCluster {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock);
  readonly upstream = new MemoryUpstream();
  readonly list = new MemoryList();
  readonly map = new MemoryOwnershipMap();
  readonly workloads = new Map<string, Workload>([
    [BILLING.name, BILLING],
    [RECEIPTS.name, RECEIPTS],
  ]);
  readonly nodes = new Map<string, DispatchInstance>();
  readonly fleet: Fleet;

  constructor() {
    this.fleet = new Fleet({
      list: this.list,
      clock: this.clock,
      log: silentLog,
    });
  }

  /** Starts instances and workers; `owners` maps each worker to the instance that owns it. */
  async start(
    nodes: readonly string[],
    owners: Readonly<Record<string, string>>,
  ): Promise<this> {
    for (const id of nodes) this.nodes.set(id, new DispatchInstance(this, id));
    for (const id of Object.keys(owners)) {
      this.list.workers.push({ worker: createWorker(id), presence: "live" });
    }
    await this.fleet.start();
    for (const [id, owner] of Object.entries(owners)) this.own(id, owner);
    await this.run(1_200);
    return this;
  }

  /** Assigns a worker to an instance, or to none. */
  own(worker: string, owner: string | undefined): void {
    this.map.assign(WORKER_UNIT_PREFIX + worker, owner);
  }

  /** Returns an instance by its ID. */
  node(id: string): DispatchInstance {
    return this.nodes.get(id)!;
  }

  /** Returns a worker by its ID. */
  worker(id: string): MemoryWorker {
    return this.upstream.worker(id);
  }

  /** Advances the clock, then runs pending promise callbacks. */
  async run(milliseconds: number): Promise<void> {
    await this.clock.run(milliseconds);
    await this.settle();
  }

  /** Runs pending promise callbacks without advancing the clock. */
  async settle(turns = 10): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Creates a client request with defaults. */
  request(
    id: string,
    options: {
      readonly idempotent?: boolean;
      readonly timeoutMs?: number;
      readonly waiting?: Partial<WaitingItem>;
    } = {},
  ): CallerRequest {
    const { idempotent = false, timeoutMs = 1_000 } = options;
    const nowMs = this.clock.monotonic();
    const path = `/${id}`;
    return {
      id,
      idempotent,
      request: { method: "POST", path, headers: {}, body: "", timeoutMs },
      waiting: {
        id,
        team: "large",
        queue: "counter",
        workload: "receipts",
        urgency: "urgent",
        need: NEED,
        arrivedAtMs: nowMs,
        deadlineAtMs: nowMs + 5_000,
        ...options.waiting,
      },
    };
  }
}

function createWorker(id: string): Worker {
  return {
    id,
    address: id,
    zone: "z",
    rack: "r",
    capacity: CAPACITY,
    connections: 60,
  };
}
