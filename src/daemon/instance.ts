/**
 * One instance: connects the controllers, the policies and the adapters to
 * the platform.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { ConfigurationFeed } from "../controllers/configuration.ts";
import type { DeferredWork } from "../controllers/deferred_work.ts";
import type { Fleet } from "../controllers/fleet.ts";
import type { GangScheduler } from "../controllers/gang_scheduler.ts";
import type { IdempotencyKeys } from "../controllers/idempotency_keys.ts";
import type { Limits } from "../controllers/limits.ts";
import type { Matching } from "../controllers/matching.ts";
import type { Membership } from "../controllers/membership.ts";
import type { OwnedWorkers } from "../controllers/owned_workers.ts";
import type { Ownership } from "../controllers/ownership.ts";
import type { Placement } from "../controllers/placement.ts";
import type { RequestDispatcher } from "../controllers/request_dispatcher.ts";
import type { SegmentAdoption } from "../controllers/segment_adoption.ts";
import type { TaskSupervisor } from "../controllers/task_supervisor.ts";
import type { TaskDispatcher } from "../controllers/task_dispatcher.ts";
import type { WorkService } from "../controllers/work_service.ts";
import type { WorkerHealth, WorkerRun } from "../controllers/worker_health.ts";
import { Metrics } from "../metrics.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { Shares } from "../policy/shares.ts";
import type { WaitingQueue } from "../policy/waiting_queue.ts";
import type { Authority } from "../ports/authority.ts";
import type { IdempotencyGuard } from "../ports/key_guard.ts";
import { fits } from "../resources.ts";
import type { Resources } from "../types.ts";
import { createClusterComponents } from "./cluster_components.ts";
import { createDispatchComponents } from "./dispatch_components.ts";
import type { DrainRates } from "./drain_rates.ts";
import type { InstanceOptions } from "./instance_options.ts";
import { ActiveSettings } from "./active_settings.ts";
import { deriveUnits } from "./units.ts";
import { createWorkComponents } from "./work_components.ts";

/** Largest time since the last confirmation of the active set while the store is reachable, milliseconds. */
const MAX_SET_AGE_MS = 20_000;
/** Interval at which the units to own are recomputed, milliseconds. */
const UNITS_INTERVAL_MS = 2_000;

/** A running instance. */
export class Instance {
  readonly metrics = new Metrics();
  readonly settings = new ActiveSettings();
  readonly pool: WorkerPool;
  readonly queue: WaitingQueue;
  readonly shares: Shares;
  readonly drainRates: DrainRates;
  readonly fleet: Fleet;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly authority: Authority;
  readonly limits: Limits;
  readonly configuration: ConfigurationFeed;
  readonly workerHealth: WorkerHealth;
  readonly workers: OwnedWorkers;
  readonly placement: Placement;
  readonly matching: Matching;
  readonly requests: RequestDispatcher;
  readonly taskSupervisor: TaskSupervisor;
  readonly tasks: TaskDispatcher;
  readonly gangs: GangScheduler;
  readonly deferred: DeferredWork;
  readonly segments: SegmentAdoption;
  readonly workService: WorkService;
  readonly keys: IdempotencyKeys;
  readonly keyGuard: IdempotencyGuard;
  readonly #options: InstanceOptions;
  #unitsTimer: Timer | undefined;
  #stopping = false;

  constructor(options: InstanceOptions) {
    this.#options = options;
    const { settings } = this;
    const cluster = createClusterComponents(
      options,
      (team) => this.matching.unblockTeam(team),
    );
    const dispatch = createDispatchComponents({
      options,
      cluster,
      settings,
      observer: { runEnded: (worker, run) => this.#recordRun(worker, run) },
      reportCompletion: (completion) =>
        this.segments.reportCompletion(completion),
    });
    const work = createWorkComponents({ options, cluster, dispatch, settings });
    this.fleet = cluster.fleet;
    this.membership = cluster.membership;
    this.ownership = cluster.ownership;
    this.authority = cluster.authority;
    this.limits = cluster.limits;
    this.configuration = cluster.configuration;
    this.queue = dispatch.queue;
    this.pool = dispatch.pool;
    this.shares = dispatch.shares;
    this.drainRates = dispatch.drainRates;
    this.workerHealth = dispatch.workerHealth;
    this.workers = dispatch.workers;
    this.placement = dispatch.placement;
    this.matching = dispatch.matching;
    this.requests = dispatch.requests;
    this.taskSupervisor = dispatch.taskSupervisor;
    this.tasks = work.tasks;
    this.deferred = work.deferred;
    this.gangs = work.gangs;
    this.segments = work.segments;
    this.workService = work.desk;
    this.keys = work.keys;
    this.keyGuard = work.keyGuard;
    this.#connect();
    this.#registerGauges();
  }

  /** Joins the cluster, after a first attempt to read the fleet and the configuration. */
  async start(): Promise<void> {
    await Promise.all([this.fleet.start(), this.configuration.start()]);
    this.membership.start();
    this.ownership.start();
    this.limits.start();
    this.#updateUnits();
  }

  /**
   * Whether the active operator set may be used. It is too old if the store is reachable but has not confirmed the set
   * for `MAX_SET_AGE_MS`; while the store is unreachable, a set of any age is used.
   */
  configured(): boolean {
    if (!this.settings.hasSet) return false;
    const storeUnreachable = this.membership.reachability().type !== "up";
    return storeUnreachable || this.configuration.ageMs() < MAX_SET_AGE_MS;
  }

  /** Whether the load balancer may send clients to this instance. */
  ready(): boolean {
    return !this.#stopping && this.configured() &&
      this.authority.hasValidLease() && this.segments.isReady;
  }

  /** Whether the instance is shutting down. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Whether the total capacity of any worker fits a requirement; true if no worker is known. */
  couldEverFit(need: Resources): boolean {
    const workers = this.fleet.workers();
    return workers.length === 0 ||
      workers.some(({ capacity }) => fits(need, capacity));
  }

  /** Marks the instance as not ready, so that the load balancer sends clients to other instances. */
  beginStop(): void {
    this.#stopping = true;
  }

  /** Stops deferred work and transfers the owned units and idempotency keys to other instances. */
  async leave(): Promise<void> {
    this.#unitsTimer?.cancel();
    await this.deferred.stop();
    await this.ownership.leave();
    await this.keys.handoversCompleted();
  }

  /** Stops the controllers. */
  stop(): void {
    this.matching.stop();
    this.taskSupervisor.close();
    this.limits.stop();
    this.workers.stop();
    this.workerHealth.stop();
    this.configuration.stop();
    this.fleet.stop();
  }

  #connect(): void {
    const { peers } = this.#options;
    this.membership.onChange(() => peers.setMembers(this.membership.members()));
    this.configuration.onChange(({ set }) => {
      this.settings.activate(set);
      this.shares.setWeights(this.settings.weights());
      this.limits.setLimits(this.settings.limits());
      this.deferred.resume(set.resumes.values());
      this.workers.refresh();
      this.#updateUnits();
    });
    this.workers.addListener({
      capacityChanged: () => {},
      tasksReported: () => {},
      trackedAttempts: () => new Set(),
      allAccountedFor: (worker) =>
        this.limits.markAccounted(`worker:${worker}`),
    });
    this.fleet.onChange(() => this.#updateUnits());
  }

  /** Recomputes the units that should have an owner and those to retire, now and at every interval. */
  #updateUnits(): void {
    const { clock, self } = this.#options;
    this.#unitsTimer?.cancel();
    const { wanted, retired } = deriveUnits({
      self: self.id,
      workers: this.fleet.workers(),
      set: this.settings.set(),
      map: this.ownership.map(),
      absentMs: (worker) => this.fleet.absentMs(worker),
    });
    if (this.fleet.listing() !== undefined) this.ownership.setUnits(wanted);
    if (retired.length > 0) this.ownership.retire(retired);
    this.#unitsTimer = clock.after(
      UNITS_INTERVAL_MS,
      () => this.#updateUnits(),
    );
  }

  #recordRun(worker: string, run: WorkerRun): void {
    const { workload, outcome, elapsedMs } = run;
    this.workers.runEnded(worker, run);
    this.metrics.count("runs_total", { workload, ending: outcome });
    this.metrics.observe("run_milliseconds", elapsedMs, { workload });
    const failed = outcome === "failed" || outcome === "refused";
    if (failed) this.metrics.count("worker_failures_total", { worker });
  }

  #registerGauges(): void {
    const { metrics } = this;
    metrics.gauge("waiting", () => this.queue.size);
    metrics.gauge("keys_remembered", () => this.keys.size);
    metrics.gauge("requests_in_flight", () => this.requests.inFlight);
    metrics.gauge("tasks_kept", () => this.taskSupervisor.size);
    metrics.gauge("gangs_waiting", () => this.gangs.size);
    metrics.gauge("workers_owned", () => this.pool.size);
    metrics.gauge("members", () => this.membership.members().length);
  }
}
