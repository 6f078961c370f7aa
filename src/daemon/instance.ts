/**
 * One instance with all its parts joined: filters for requests, controllers
 * for state, adapters towards the platform.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { ConfigurationFeed } from "../controllers/configuration.ts";
import type { Deferred } from "../controllers/deferred.ts";
import type { Fleet } from "../controllers/fleet.ts";
import type { Gangs } from "../controllers/gangs.ts";
import type { HomeKeys } from "../controllers/home_keys.ts";
import type { Limits } from "../controllers/limits.ts";
import type { Matching } from "../controllers/matching.ts";
import type { Membership } from "../controllers/membership.ts";
import type { OwnedWorkers } from "../controllers/owned_workers.ts";
import type { Ownership } from "../controllers/ownership.ts";
import type { Placement } from "../controllers/placement.ts";
import type { Requests } from "../controllers/requests.ts";
import type { Segments } from "../controllers/segments.ts";
import type { TaskKeeper } from "../controllers/task_keeper.ts";
import type { Tasks } from "../controllers/tasks.ts";
import type { WorkDesk } from "../controllers/work_desk.ts";
import type { Run, WorkerStandings } from "../controllers/worker_standings.ts";
import { Metrics } from "../metrics.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { Shares } from "../policy/shares.ts";
import type { WaitingQueue } from "../policy/waiting.ts";
import type { Authority } from "../ports/authority.ts";
import type { KeyGuard } from "../ports/key_guard.ts";
import { fits } from "../resources.ts";
import type { Resources } from "../types.ts";
import { clusterParts } from "./cluster_parts.ts";
import { dispatchParts } from "./dispatch_parts.ts";
import type { DrainRates } from "./drain_rates.ts";
import type { InstanceOptions } from "./instance_options.ts";
import { SettingsInForce } from "./settings_in_force.ts";
import { unitsOf } from "./units.ts";
import { workParts } from "./work_parts.ts";

/** A set that the store has not confirmed for so long is not acted on while the store answers, milliseconds. */
const STALE_SET_MS = 20_000;
/** Time between looks at what is to be owned, milliseconds. */
const UNITS_INTERVAL_MS = 2_000;

/** A running instance. */
export class Instance {
  readonly metrics = new Metrics();
  readonly settings = new SettingsInForce();
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
  readonly standings: WorkerStandings;
  readonly workers: OwnedWorkers;
  readonly placement: Placement;
  readonly matching: Matching;
  readonly requests: Requests;
  readonly keeper: TaskKeeper;
  readonly tasks: Tasks;
  readonly gangs: Gangs;
  readonly deferred: Deferred;
  readonly segments: Segments;
  readonly desk: WorkDesk;
  readonly keys: HomeKeys;
  readonly keyGuard: KeyGuard;
  readonly #options: InstanceOptions;
  #unitsTimer: Timer | undefined;
  #stopping = false;

  constructor(options: InstanceOptions) {
    this.#options = options;
    const { settings } = this;
    const cluster = clusterParts(
      options,
      (team) => this.matching.gained(team),
    );
    const dispatch = dispatchParts({
      options,
      cluster,
      settings,
      observer: { ran: (worker, run) => this.#ran(worker, run) },
      tell: (ended) => this.segments.tell(ended),
    });
    const work = workParts({ options, cluster, dispatch, settings });
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
    this.standings = dispatch.standings;
    this.workers = dispatch.workers;
    this.placement = dispatch.placement;
    this.matching = dispatch.matching;
    this.requests = dispatch.requests;
    this.keeper = dispatch.keeper;
    this.tasks = work.tasks;
    this.deferred = work.deferred;
    this.gangs = work.gangs;
    this.segments = work.segments;
    this.desk = work.desk;
    this.keys = work.keys;
    this.keyGuard = work.keyGuard;
    this.#connect();
    this.#gauges();
  }

  /** Starts to take part. */
  async start(): Promise<void> {
    await Promise.all([this.fleet.start(), this.configuration.start()]);
    this.membership.start();
    this.ownership.start();
    this.limits.start();
    this.#units();
  }

  /**
   * Whether the operators' set here may be acted on: not if the store answers
   * and what is in force there could not be read for long.
   */
  configured(): boolean {
    if (!this.settings.known) return false;
    const away = this.membership.reach().type !== "up";
    return away || this.configuration.ageMs() < STALE_SET_MS;
  }

  /** Whether callers may be sent here. */
  ready(): boolean {
    return !this.#stopping && this.configured() &&
      this.authority.inContact() && this.segments.ready;
  }

  /** Whether the instance has begun to shut down. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Whether any worker of the fleet could hold a need; true while the fleet is not known. */
  couldEverFit(need: Resources): boolean {
    const workers = this.fleet.workers();
    return workers.length === 0 ||
      workers.some(({ capacity }) => fits(need, capacity));
  }

  /** Takes no new part: the balancer should send callers elsewhere. */
  beginStop(): void {
    this.#stopping = true;
  }

  /** Hands over what is owned, once nothing is in flight here. */
  async leave(): Promise<void> {
    this.#unitsTimer?.cancel();
    await this.deferred.stop();
    await this.ownership.leave();
    await this.keys.handedOver();
  }

  /** Ends every timer and watch. */
  stop(): void {
    this.matching.stop();
    this.keeper.close();
    this.limits.stop();
    this.workers.stop();
    this.standings.stop();
    this.configuration.stop();
    this.fleet.stop();
  }

  #connect(): void {
    const { peers } = this.#options;
    this.membership.onChange(() => peers.setMembers(this.membership.members()));
    this.configuration.onChange(({ set }) => {
      this.settings.replace(set);
      this.shares.setWeights(this.settings.weights());
      this.limits.setLimits(this.settings.limits());
      this.deferred.resume(set.resumes.values());
      this.workers.refresh();
      this.#units();
    });
    this.workers.listen({
      roomChanged: () => {},
      tasksReported: () => {},
      trackedOn: () => new Set(),
      settled: (worker) => this.limits.settle(`worker:${worker}`),
    });
    this.fleet.onChange(() => this.#units());
  }

  /** Names what should be owned. */
  #units(): void {
    const { clock, self } = this.#options;
    this.#unitsTimer?.cancel();
    const { wanted, retired } = unitsOf({
      self: self.id,
      workers: this.fleet.workers(),
      set: this.settings.set(),
      map: this.ownership.map(),
      absentMs: (worker) => this.fleet.absentMs(worker),
    });
    if (this.fleet.listing() !== undefined) this.ownership.setUnits(wanted);
    if (retired.length > 0) this.ownership.retire(retired);
    this.#unitsTimer = clock.after(UNITS_INTERVAL_MS, () => this.#units());
  }

  #ran(worker: string, run: Run): void {
    const { workload, ending, tookMs } = run;
    this.workers.ran(worker, run);
    this.metrics.count("runs_total", { workload, ending });
    this.metrics.observe("run_milliseconds", tookMs, { workload });
    const failed = ending === "failed" || ending === "refused";
    if (failed) this.metrics.count("worker_failures_total", { worker });
  }

  #gauges(): void {
    const { metrics } = this;
    metrics.gauge("waiting", () => this.queue.size);
    metrics.gauge("keys_remembered", () => this.keys.size);
    metrics.gauge("requests_in_flight", () => this.requests.inFlight);
    metrics.gauge("tasks_kept", () => this.keeper.size);
    metrics.gauge("gangs_waiting", () => this.gangs.size);
    metrics.gauge("workers_owned", () => this.pool.size);
    metrics.gauge("members", () => this.membership.members().length);
  }
}
