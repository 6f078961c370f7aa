/**
 * The workers that this instance owns: which of them may get new work, and
 * which work on them this instance did not start.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Log } from "../logger.ts";
import { UnaccountedRequests } from "../policy/unaccounted_requests.ts";
import { unaccountedCapacity } from "../policy/unaccounted_capacity.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { Authority } from "../ports/authority.ts";
import type { Report, TaskReport, Upstream } from "../ports/upstream.ts";
import { add, fits, zeroResources } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import type { Fleet } from "./fleet.ts";
import type { WorkerHealth, WorkerRun } from "./worker_health.ts";

/** Interval at which a worker is asked for its report, milliseconds. */
export const REPORT_INTERVAL_MS = 1_000;
/**
 * A request that the former owner sent just before it lost the worker arrives
 * within this time, milliseconds.
 */
const LATE_REQUEST_WINDOW_MS = 300;
/**
 * Delay before a worker that has not reported yet is polled again,
 * milliseconds.
 */
const FIRST_REPORT_RETRY_DELAY_MS = 200;

/**
 * Longest time for which lost requests count on a worker that is no longer
 * owned, milliseconds.
 */
const LOST_REQUEST_TTL_MS = 60_000;

/**
 * Work that a former owner started counts as ended on a worker that has not
 * responded for this long, milliseconds.
 */
const SILENT_WORKER_TIMEOUT_MS = 30_000;

/** Prefix of the ownership units that are workers. */
export const WORKER_UNIT_PREFIX = "worker:";

/** Dependencies of {@linkcode OwnedWorkers}. */
export interface OwnedWorkersOptions {
  readonly authority: Authority;
  readonly fleet: Fleet;
  readonly pool: WorkerPool;
  readonly upstream: Upstream;
  readonly clock: Clock;
  readonly log: Log;
  readonly workerHealth: WorkerHealth;
  /** Upper bound of the resources that a request of any workload needs. */
  readonly maxRequestResources: () => Resources;
  /** Whether the operators have drained a worker. */
  readonly isDrained: (worker: string) => boolean;
}

/** The tasks in a worker's report. */
export interface ReportedTasks {
  readonly tasks: readonly TaskReport[];
  /**
   * Earliest time at which the reported usage may have been measured, monotonic
   * milliseconds.
   */
  readonly measuredAtMs: number;
}

/** Receives events of the owned workers. */
export interface WorkerListener {
  /** A worker may have more free capacity. */
  capacityChanged(): void;
  /** A worker has reported its tasks. */
  tasksReported(worker: Worker, sight: ReportedTasks): void;
  /** All work on a worker has been accounted for. */
  allAccountedFor?(worker: string): void;
  /** Attempts on a worker that the listener tracks. */
  trackedAttempts(worker: string): ReadonlySet<string>;
}

interface OwnedWorker {
  readonly worker: Worker;
  readonly unaccounted: UnaccountedRequests;
  fence: number;
  /** The worker rejects starts of tasks under older fencing numbers. */
  fenced: boolean;
  /** Time of the last report; before the first, the time of adoption. */
  lastReportAtMs: number;
  owned: boolean;
  reachable: boolean;
  leaving: boolean;
  untrackedTasks: Resources;
  /**
   * Resources of lost requests that may still run. Cleared when no unaccounted
   * work is left.
   */
  lostRequests: Resources[];
  /** Time at which lost requests stop to count if the worker is not owned. */
  lostRequestsExpireAtMs: number;
  timer?: Timer;
}

/**
 * Updates the pool from the ownership map, the worker list and the reports of
 * workers.
 */
export class OwnedWorkers {
  readonly #options: OwnedWorkersOptions;
  readonly #entries = new Map<string, OwnedWorker>();
  readonly #listeners: WorkerListener[] = [];

  constructor(options: OwnedWorkersOptions) {
    this.#options = options;
    options.authority.onChange(() => this.refresh());
    options.fleet.onChange(() => this.refresh());
  }

  /** Adds a listener. */
  addListener(listener: WorkerListener): void {
    this.#listeners.push(listener);
  }

  /** Re-evaluates ownership, the worker list and drains. */
  refresh(): void {
    const units = this.#options.authority.owned(WORKER_UNIT_PREFIX);
    const owned = new Set(
      units.map((unit) => unit.slice(WORKER_UNIT_PREFIX.length)),
    );
    for (const id of owned) this.#adopt(id);
    for (const [id, entry] of this.#entries) {
      if (!owned.has(id)) this.#drop(id, entry);
      else this.#updateUsable(id, entry);
    }
    for (const listener of this.#listeners) listener.capacityChanged();
  }

  /**
   * The fencing number under which this instance owns a worker; `undefined` if
   * it does not own it.
   */
  fenceOf(id: string): number | undefined {
    const unit = WORKER_UNIT_PREFIX + id;
    const entry = this.#entries.get(id);
    const fence = this.#options.authority.fenceOf(unit);
    return entry?.owned && entry.fence === fence ? fence : undefined;
  }

  /**
   * Whether work may start now on a worker in capacity that is already
   * reserved.
   */
  isUsable(id: string): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && this.#canRunWork(id, entry);
  }

  /** Records that capacity was reserved on a worker. */
  capacityReserved(id: string): void {
    this.#options.workerHealth.capacityReserved(id);
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#updateUsable(id, entry);
  }

  /** Records the end of a run on a worker. */
  runEnded(id: string, run: WorkerRun): void {
    this.#options.workerHealth.recordRun(id, run);
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#updateUsable(id, entry);
  }

  /**
   * Upper bound of the requests that run on a worker while this instance does
   * not wait for their answers.
   */
  unaccountedRequests(id: string): number {
    return this.#entries.get(id)?.unaccounted.maxCount ?? 0;
  }

  /** Records that a request is about to be sent to a worker. */
  requestStarted(id: string, request: string): void {
    const now = this.#options.clock.monotonic();
    this.#entries.get(id)?.unaccounted.recordSent(request, now);
  }

  /**
   * Records that a request was answered completely or never reached its worker.
   */
  requestEnded(id: string, request: string): void {
    const now = this.#options.clock.monotonic();
    this.#entries.get(id)?.unaccounted.recordCompletion(request, now);
    this.#removeIfIdle(id);
  }

  /**
   * Records that this instance no longer waits for a request, which may still
   * run on its worker.
   */
  requestLost(
    id: string,
    request: { readonly id: string; readonly need: Resources },
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.unaccounted.recordAbandoned(
      request.id,
      this.#options.clock.monotonic(),
    );
    entry.lostRequests.push(request.need);
    entry.lostRequestsExpireAtMs = this.#options.clock.monotonic() +
      LOST_REQUEST_TTL_MS;
    this.#reserveUnaccounted(id, entry);
  }

  /**
   * Marks a worker as unreachable or leaving: it gets no new work until its
   * next report.
   */
  markUnreachable(id: string, leaving: boolean): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.reachable = false;
    entry.leaving ||= leaving;
    this.#updateUsable(id, entry);
  }

  /** Number of requests sent to workers and not yet answered. */
  get inFlight(): number {
    return [...this.#entries.values()]
      .reduce((sum, { unaccounted }) => sum + unaccounted.inFlight, 0);
  }

  /** Stops polling. */
  stop(): void {
    for (const entry of this.#entries.values()) entry.timer?.cancel();
  }

  #adopt(id: string): void {
    const { authority, clock, fleet, log, pool, workerHealth } = this.#options;
    const worker = fleet.worker(id);
    const fence = authority.fenceOf(WORKER_UNIT_PREFIX + id);
    if (worker === undefined || fence === undefined) return;
    const known = this.#entries.get(id);
    if (known?.owned && known.fence === fence) return;
    const trustedFromMs = clock.monotonic() + LATE_REQUEST_WINDOW_MS;
    if (known !== undefined) {
      known.owned = true;
      known.fence = fence;
      known.fenced = false;
      known.lastReportAtMs = trustedFromMs;
      known.reachable = false;
      known.unaccounted.reset(trustedFromMs);
    } else {
      pool.upsert(worker);
      workerHealth.add(id);
      pool.setUsable(id, false);
      this.#entries.set(id, createEntry(worker, fence, trustedFromMs));
    }
    log.info("worker.adopted", { worker: id, fence });
    this.#poll(id);
  }

  #drop(id: string, entry: OwnedWorker): void {
    if (entry.owned) {
      this.#options.log.info("worker.given_up", { worker: id });
    }
    entry.owned = false;
    this.#options.pool.setUsable(id, false);
    this.#removeIfIdle(id);
  }

  /**
   * Removes a worker that is no longer owned once this instance has no work and
   * no reserved capacity on it.
   */
  #removeIfIdle(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.owned) return;
    if (entry.unaccounted.inFlight > 0 || this.#hasReserved(id)) return;
    if (this.#mayRunLostRequests(entry)) return;
    const tracked = this.#listeners.some((listener) =>
      listener.trackedAttempts(id).size > 0
    );
    if (tracked) return;
    entry.timer?.cancel();
    this.#entries.delete(id);
    this.#options.pool.remove(id);
    this.#options.workerHealth.remove(id);
    for (const listener of this.#listeners) listener.capacityChanged();
  }

  /** Whether lost requests may still run on a worker. */
  #mayRunLostRequests(entry: OwnedWorker): boolean {
    return entry.lostRequests.length > 0 &&
      this.#options.clock.monotonic() < entry.lostRequestsExpireAtMs;
  }

  #hasReserved(id: string): boolean {
    const taken = this.#options.pool.allocated(id) ?? zeroResources;
    return !fits(taken, zeroResources);
  }

  #updateUsable(id: string, entry: OwnedWorker): void {
    const { pool, workerHealth } = this.#options;
    pool.setUsable(id, this.#canRunWork(id, entry) && workerHealth.allows(id));
  }

  /** Whether a worker may run work; its health is not considered. */
  #canRunWork(id: string, entry: OwnedWorker): boolean {
    const { isDrained, fleet } = this.#options;
    return entry.owned && entry.fenced && entry.reachable &&
      entry.unaccounted.hasReport && !entry.leaving && fleet.isLive(id) &&
      !isDrained(id);
  }

  #poll(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.timer?.cancel();
    void this.#fetchReport(id, entry).then(() => this.#schedulePoll(id));
  }

  /**
   * Fetches a report, after the worker has received this instance's fencing
   * number.
   */
  async #fetchReport(id: string, entry: OwnedWorker): Promise<void> {
    const { clock, upstream } = this.#options;
    const { fence, worker } = entry;
    if (entry.owned && !entry.fenced) {
      const renewed = await upstream.renew(worker.address, fence, []);
      if (renewed.isErr()) return this.#handleMissingReport(id, entry);
      entry.fenced = entry.fence === fence;
    }
    const sentAtMs = clock.monotonic();
    await upstream.report(worker.address).match(
      (report) => this.#handleReport(id, { report, sentAtMs }),
      () => this.#handleMissingReport(id, entry),
    );
  }

  /**
   * Handles a poll without a report. Work on a worker that stays silent has
   * ended with the worker's lease.
   */
  #handleMissingReport(id: string, entry: OwnedWorker): void {
    this.markUnreachable(id, false);
    const silentMs = this.#options.clock.monotonic() - entry.lastReportAtMs;
    if (silentMs > SILENT_WORKER_TIMEOUT_MS) this.#notifyAllAccountedFor(id);
    this.#removeIfIdle(id);
  }

  #notifyAllAccountedFor(id: string): void {
    for (const listener of this.#listeners) listener.allAccountedFor?.(id);
  }

  #schedulePoll(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const delayMs = entry.unaccounted.hasReport
      ? REPORT_INTERVAL_MS
      : FIRST_REPORT_RETRY_DELAY_MS;
    entry.timer?.cancel();
    entry.timer = this.#options.clock.after(delayMs, () => this.#poll(id));
  }

  #handleReport(
    id: string,
    { report, sentAtMs }: {
      readonly report: Report;
      readonly sentAtMs: number;
    },
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const measuredAtMs = sentAtMs - report.ageMs;
    entry.reachable = true;
    entry.lastReportAtMs = this.#options.clock.monotonic();
    entry.leaving = report.leaving;
    entry.unaccounted.recordReport({
      earliestAtMs: measuredAtMs,
      latestAtMs: this.#options.clock.monotonic() - report.ageMs,
      requests: report.requests,
    });
    for (const listener of this.#listeners) {
      listener.tasksReported(entry.worker, {
        tasks: report.tasks,
        measuredAtMs,
      });
    }
    entry.untrackedTasks = this.#untrackedTasks(id, report);
    this.#reserveUnaccounted(id, entry);
    this.#updateUsable(id, entry);
    if (entry.unaccounted.hasReport && entry.unaccounted.maxCount === 0) {
      this.#notifyAllAccountedFor(id);
    }
    for (const listener of this.#listeners) listener.capacityChanged();
    this.#removeIfIdle(id);
  }

  #untrackedTasks(id: string, report: Report): Resources {
    const tracked = new Set(
      this.#listeners.flatMap((listener) => [...listener.trackedAttempts(id)]),
    );
    return report.tasks
      .filter((task) => !tracked.has(task.attempt))
      .filter(({ state }) =>
        state.type === "running" || state.type === "throttled"
      )
      .reduce((sum, task) => add(sum, task.declared), zeroResources);
  }

  #reserveUnaccounted(id: string, entry: OwnedWorker): void {
    const { maxCount } = entry.unaccounted;
    if (maxCount === 0) entry.lostRequests = [];
    const requests = unaccountedCapacity(maxCount, {
      needs: entry.lostRequests,
      capacity: entry.worker.capacity,
      maxNeed: this.#options.maxRequestResources(),
    });
    this.#options.pool.setReserved(id, add(requests, entry.untrackedTasks));
  }
}

function createEntry(
  worker: Worker,
  fence: number,
  trustedFromMs: number,
): OwnedWorker {
  return {
    worker,
    fence,
    fenced: false,
    lastReportAtMs: trustedFromMs,
    unaccounted: new UnaccountedRequests(trustedFromMs),
    owned: true,
    reachable: false,
    leaving: false,
    untrackedTasks: zeroResources,
    lostRequests: [],
    lostRequestsExpireAtMs: -Infinity,
  };
}
