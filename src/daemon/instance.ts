/**
 * One instance with all its parts joined: filters for requests, controllers
 * for state, adapters towards the platform.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Clock, Timer } from "../clock.ts";
import { TeamAllowances } from "../controllers/allowances.ts";
import { ConfigurationFeed } from "../controllers/configuration.ts";
import { Deferred } from "../controllers/deferred.ts";
import { DEFERRED_LIMITS } from "../controllers/deferred_options.ts";
import { Fleet } from "../controllers/fleet.ts";
import { Gangs } from "../controllers/gangs.ts";
import { HomeKeyGuard } from "../controllers/home_key_guard.ts";
import { HomeKeys } from "../controllers/home_keys.ts";
import { Limits } from "../controllers/limits.ts";
import { Matching } from "../controllers/matching.ts";
import { Membership } from "../controllers/membership.ts";
import { OwnedWorkers } from "../controllers/owned_workers.ts";
import { Ownership } from "../controllers/ownership.ts";
import { Placement, type RunObserver } from "../controllers/placement.ts";
import { Requests } from "../controllers/requests.ts";
import { Segments } from "../controllers/segments.ts";
import { TaskKeeper } from "../controllers/task_keeper.ts";
import { reservationOrder, Tasks } from "../controllers/tasks.ts";
import { TaskSizes } from "../controllers/task_sizes.ts";
import { timingFor } from "../controllers/timing.ts";
import { WorkDesk } from "../controllers/work_desk.ts";
import { type Run, WorkerStandings } from "../controllers/worker_standings.ts";
import { WriteBudget } from "../journal/write_budget.ts";
import type { Log } from "../logger.ts";
import { Metrics } from "../metrics.ts";
import type { TcpPeers } from "../peers/tcp_peers.ts";
import { WorkerPool } from "../policy/pool.ts";
import { Shares } from "../policy/shares.ts";
import { WaitingQueue } from "../policy/waiting.ts";
import type { Authority } from "../ports/authority.ts";
import type { KeyGuard } from "../ports/key_guard.ts";
import type { List } from "../ports/list.ts";
import type { Store } from "../ports/store.ts";
import type { Upstream } from "../ports/upstream.ts";
import { RetryTokens } from "../retry_budget.ts";
import { KEY_LIMITS } from "../state/key_memory.ts";
import type { Instance as Identity, Resources } from "../types.ts";
import { fits } from "../resources.ts";
import { DrainRates } from "./drain_rates.ts";
import { SettingsInForce } from "./settings_in_force.ts";
import { unitsOf } from "./units.ts";

/** Writes to the platform's service that one instance's journal may make. */
const JOURNAL_WRITES_PER_SECOND = 25;
/** Writes that may be made in a burst. */
const JOURNAL_BURST = 25;
/** Longest wait for the home of an idempotency key, milliseconds. */
const KEY_CALL_MS = 1_000;
/** A set that the store has not confirmed for so long is not acted on while the store answers, milliseconds. */
const STALE_SET_MS = 20_000;
/** Time between looks at what is to be owned, milliseconds. */
const UNITS_INTERVAL_MS = 2_000;

/** What an instance is made of. */
export interface InstanceOptions {
  readonly self: Identity;
  readonly store: Store;
  readonly list: List;
  readonly peers: TcpPeers;
  readonly upstream: Upstream;
  readonly clock: Clock;
  readonly log: Log;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Time after which others take over from this instance when it is silent. */
  readonly leaseMs: number;
}

/** A running instance. */
export class Instance {
  readonly metrics = new Metrics();
  readonly settings = new SettingsInForce();
  readonly pool = new WorkerPool();
  readonly queue = new WaitingQueue((name) => this.settings.boundOf(name));
  readonly shares = new Shares();
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
    const { settings, pool, queue, shares } = this;
    const { self, store, list, peers, upstream, clock, log, random } = options;
    const members = () => this.others();
    this.drainRates = new DrainRates({ clock, queue });
    this.fleet = new Fleet({ list, clock, log });
    const timing = timingFor(options.leaseMs);
    this.membership = new Membership({ ...options, timing });
    const { membership, fleet } = this;
    this.ownership = new Ownership({ ...options, membership });
    const { ownership } = this;
    const authority = authorityOf(membership, ownership);
    this.authority = authority;
    this.limits = new Limits({ membership, ownership, peers, clock });
    const allowances = new TeamAllowances(
      this.limits,
      (team) => this.matching.gained(team),
    );
    this.configuration = new ConfigurationFeed({
      ...options,
      self: self.id,
      members,
    });
    this.standings = new WorkerStandings({ peers, members, clock, log });
    this.workers = new OwnedWorkers({
      standings: this.standings,
      largestRequest: () => settings.largestRequest(),
      authority,
      fleet,
      pool,
      upstream,
      clock,
      log,
      drained: (worker) => settings.drained(worker),
    });
    const { workers } = this;
    const observer: RunObserver = {
      ran: (worker, run) => this.#ran(worker, run),
    };
    this.placement = new Placement({
      workloadOf: (name) => settings.workload(name),
      authority,
      allowances,
      workers,
      pool,
      upstream,
      clock,
      log,
      observer,
    });
    const { placement } = this;
    const sizes = new TaskSizes({
      workers,
      fleet,
      upstream,
      log,
      workloadOf: (name) => settings.workload(name),
      queueOf: (name) => settings.queue(name),
      rankOf: (team) => shares.rank(team),
    });
    placement.sizeBy((task) => sizes.sizeOf(task));
    this.matching = new Matching({
      placement,
      allowances,
      limitedTeams: () => settings.limits().keys(),
      pool,
      queue,
      shares,
      peers,
      clock,
      members,
    });
    const { matching } = this;
    this.requests = new Requests({
      matching,
      placement,
      peers,
      clock,
      log,
      retries: new RetryTokens(),
      retryAfterMs: (name) => this.drainRates.retryAfterMs(name),
      departed: (name) => this.drainRates.departed(name),
    });
    this.keeper = new TaskKeeper({
      placement,
      workers,
      pool,
      allowances,
      upstream,
      peers,
      clock,
      log,
      observer,
      tell: (ended) => this.segments.tell(ended),
    });
    const { keeper } = this;
    const workloadOf = (name: string) => settings.workload(name);
    this.tasks = new Tasks({
      self: self.id,
      authority,
      matching,
      placement,
      keeper,
      fleet,
      peers,
      clock,
      log,
      workloadOf,
      queueOf: (name) => settings.queue(name),
    });
    const { tasks } = this;
    this.deferred = new Deferred({
      self: self.id,
      store,
      clock,
      newId: randomUUID,
      workloadOf,
      runner: tasks,
      budget: new WriteBudget(clock, {
        perSecond: JOURNAL_WRITES_PER_SECOND,
        burst: JOURNAL_BURST,
      }),
      limits: DEFERRED_LIMITS,
      lost: (segment) => this.segments.lost(segment),
      retired: (segment) => this.segments.retired(segment),
    });
    const { deferred } = this;
    this.gangs = new Gangs({
      tasks,
      deferred,
      clock,
      random,
      log,
      workloadOf,
      owners: () => reservationOrder(membership.members()),
    });
    tasks.connect(deferred, this.gangs);
    this.segments = new Segments({
      self: self.id,
      ownership,
      authority,
      deferred,
      peers,
      clock,
      log,
    });
    this.desk = new WorkDesk({
      self: self.id,
      deferred,
      authority,
      peers,
      members,
    });
    this.keys = new HomeKeys({
      self: self.id,
      peers,
      clock,
      limits: KEY_LIMITS,
      callMs: KEY_CALL_MS,
      authority,
      epoch: () => ownership.map().epoch,
      members,
      newId: randomUUID,
    });
    this.keyGuard = new HomeKeyGuard(this.keys, clock);
    this.#connect();
    this.#gauges();
  }

  /** Ids of the other instances. */
  others(): string[] {
    const { id } = this.#options.self;
    return this.membership.members()
      .map((member) => member.id)
      .filter((other) => other !== id);
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

function authorityOf(
  membership: Membership,
  ownership: Ownership,
): Authority {
  return {
    inContact: () => membership.mayDecide(),
    mayDecide: (unit) => ownership.mayDecide(unit),
    owned: (prefix) => ownership.owned(prefix),
    ownerOf: (unit) => ownership.ownerOf(unit),
    fenceOf: (unit) => ownership.fenceOf(unit),
    onChange: (listener) => ownership.onChange(listener),
  };
}
