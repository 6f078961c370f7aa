/**
 * Dispatching of requests at the owner of workers: places each request on an
 * owned worker and sends it there. A request is sent only while the instance's
 * lease is valid, the worker is owned, capacity is reserved on it and allowance
 * of the team has been taken.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { assertNever, type WorkerFailure } from "../errors.ts";
import { place } from "../kinds/registry.ts";
import type { Log } from "../logger.ts";
import type { Workload } from "../operator_set.ts";
import { Headroom } from "../policy/headroom.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { Authority, RunPermits } from "../ports/authority.ts";
import type { Upstream } from "../ports/upstream.ts";
import { add, equal, fits } from "../resources.ts";
import type { Reason, Resources } from "../types.ts";
import type { RunRequest, RunResponse } from "../wire/dispatch.ts";
import { Offers, type ReservedCapacity } from "./offers.ts";
import { RunRequestLog } from "./run_request_log.ts";
import { type OwnedWorkers, WORKER_UNIT_PREFIX } from "./owned_workers.ts";
import type { SizedTask } from "./task_sizes.ts";
import type { WorkerRun } from "./worker_health.ts";

/** Suggested retry delay while a team is at its limit, milliseconds. */
const LIMIT_RETRY_AFTER_MS = 250;

/** Receives the outcome of each run on a worker. */
export interface RunObserver {
  runEnded(worker: string, run: WorkerRun): void;
}

/** Dependencies of {@linkcode Placement}. */
export interface PlacementOptions {
  readonly authority: Authority;
  readonly allowances: RunPermits;
  readonly workers: OwnedWorkers;
  readonly pool: WorkerPool;
  readonly upstream: Upstream;
  readonly clock: Clock;
  readonly log: Log;
  readonly observer: RunObserver;
  readonly workloadOf: (name: string) => Workload | undefined;
}

/** Restricts the search for a worker. */
export interface WorkerSearchOptions {
  /** Name of the workload; its kind selects the placement policy. */
  readonly workload?: string;
  /** Workers that must not be used. */
  readonly avoid?: readonly string[];
}

/**
 * A worker that has been chosen, and the fencing number under which it is
 * owned.
 */
export interface ChosenWorker {
  readonly worker: string;
  readonly fence: number;
}

/**
 * Reserved capacity with allowance of the team, or the reason why there is
 * none.
 */
export type ReservationResult =
  | { readonly type: "place"; readonly place: ChosenWorker }
  | {
    readonly type: "none";
    readonly reason: Reason;
    readonly retryAfterMs?: number;
  };

/** Places work on the workers that this instance owns. */
export class Placement {
  readonly offers: Offers;
  readonly #options: PlacementOptions;
  readonly #capacityListeners: (() => void)[] = [];
  readonly #runRequests: RunRequestLog;
  readonly #teamsOfLostRuns = new Map<string, string[]>();
  readonly #usage = new Map<string, Resources>();
  readonly #headroom = new Headroom();
  #sizeOf: (task: SizedTask) => Resources = ({ need }) => need;

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#runRequests = new RunRequestLog(options.clock);
    this.offers = new Offers({
      pool: options.pool,
      clock: options.clock,
      onReleased: (reserved) => {
        options.allowances.release(reserved.team);
        this.notifyCapacityChanged();
      },
    });
    options.workers.addListener({
      capacityChanged: () => {
        this.#releaseLostRuns();
        this.notifyCapacityChanged();
      },
      tasksReported: () => {},
      trackedAttempts: () => new Set(),
    });
  }

  /** Sets the function that gives the resources to reserve for a task. */
  setSizeOf(sizeOf: (task: SizedTask) => Resources): void {
    this.#sizeOf = sizeOf;
  }

  /** Resources to reserve for a task. */
  sizeOf(task: SizedTask): Resources {
    return this.#sizeOf(task);
  }

  /** Calls `listener` whenever more capacity may be free. */
  onCapacityChanged(listener: () => void): void {
    this.#capacityListeners.push(listener);
  }

  /** Notifies the listeners that more capacity may be free. */
  notifyCapacityChanged(): void {
    for (const listener of this.#capacityListeners) listener();
  }

  /** Resources that each team uses on the owned workers. */
  usage(): ReadonlyMap<string, Resources> {
    return this.#usage;
  }

  /**
   * Whether a deferred task leaves enough free capacity for urgent requests
   * that may arrive.
   */
  leavesHeadroom(need: Resources): boolean {
    const { clock, pool } = this.#options;
    const { capacity, free } = pool.totals();
    const headroom = this.#headroom.reservedCapacity(
      capacity,
      clock.monotonic(),
    );
    return fits(add(need, headroom), free);
  }

  /**
   * Sends a request to a worker; the response gives the answer or the reason
   * for which there is none.
   */
  async run(runRequest: RunRequest): Promise<RunResponse> {
    const earlierResponse = this.#earlierResponse(runRequest.id);
    if (earlierResponse !== undefined) return earlierResponse;
    this.#headroom.recordUrgent(
      runRequest.need,
      this.#options.clock.monotonic(),
    );
    const reserved = this.#reserveForRun(runRequest);
    if (reserved.type === "none") {
      return {
        ...notStarted(reserved.reason),
        retryAfterMs: reserved.retryAfterMs,
      };
    }
    const { place } = reserved;
    const rejection = this.#checkBeforeSend(runRequest, place);
    if (rejection !== undefined) {
      this.#releaseRun(runRequest, place);
      return rejection;
    }
    return await this.#send(runRequest, place);
  }

  /**
   * Whether a run request was started. If it was not, it is barred and will
   * never be started.
   */
  resolveRun(id: string): boolean {
    return !this.#runRequests.bar(id);
  }

  /** The worker on which work could be placed now; reserves nothing. */
  findWorker(
    need: Resources,
    options: WorkerSearchOptions = {},
  ): ChosenWorker | undefined {
    const { authority, workers } = this.#options;
    if (!authority.hasValidLease()) return undefined;
    const worker = this.#chooseWorker(need, options);
    if (worker === undefined) return undefined;
    const fence = workers.fenceOf(worker);
    return fence === undefined ? undefined : { worker, fence };
  }

  /** The worker chosen by the placement policy of the workload's kind. */
  #chooseWorker(
    need: Resources,
    options: WorkerSearchOptions,
  ): string | undefined {
    const { pool, workloadOf } = this.#options;
    const workload = workloadOf(options.workload ?? "");
    const context = { pool, need, avoid: new Set(options.avoid) };
    switch (workload?.kind) {
      case undefined:
      case "gang":
        return pool.findWorker(need, context);
      case "service":
      case "batch": {
        const placed = place(workload, context);
        return placed.type === "placed" ? placed.workers[0] : undefined;
      }
      default:
        return assertNever(workload);
    }
  }

  /** Releases reserved capacity and allowance that were not used. */
  release(reserved: Pick<ReservedCapacity, "worker" | "team" | "need">): void {
    this.#options.pool.release(reserved.worker, reserved.need);
    this.#options.allowances.release(reserved.team);
    this.notifyCapacityChanged();
  }

  /**
   * Reason for which no work may start on a worker under a fencing number;
   * `undefined` if work may start.
   */
  rejectionReason(place: ChosenWorker): Reason | undefined {
    const { authority, workers } = this.#options;
    if (!authority.hasValidLease()) return { type: "isolated" };
    const unit = WORKER_UNIT_PREFIX + place.worker;
    const owned = authority.mayDecide(unit) &&
      workers.fenceOf(place.worker) === place.fence;
    return owned ? undefined : { type: "noOwner" };
  }

  /**
   * Adds resources to the usage of a team (`sign` 1) or subtracts them (`sign`
   * -1).
   */
  addUsage(team: string, need: Resources, sign: 1 | -1): void {
    if (sign < 0) {
      this.#headroom.recordCompletion(this.#options.clock.monotonic());
    }
    const before = this.#usage.get(team);
    const after = {
      cpuMillis: (before?.cpuMillis ?? 0) + sign * need.cpuMillis,
      memoryMib: (before?.memoryMib ?? 0) + sign * need.memoryMib,
      accelerators: (before?.accelerators ?? 0) + sign * need.accelerators,
      slots: (before?.slots ?? 0) + sign * need.slots,
    };
    if (after.slots <= 0 && after.cpuMillis <= 0) this.#usage.delete(team);
    else this.#usage.set(team, after);
  }

  #reserveForRun(runRequest: RunRequest): ReservationResult {
    const { offer, need, team, avoid } = runRequest;
    const reserved = offer === undefined ? undefined : this.offers.take(offer);
    if (reserved === undefined) return this.reserve(runRequest, avoid);
    const place = this.#useReserved(reserved, runRequest);
    if (place !== undefined) return { type: "place", place };
    this.#options.allowances.release(reserved.team);
    return this.reserve({ team, need, workload: runRequest.workload }, avoid);
  }

  /** Reserves capacity and takes allowance. The caller has to release both. */
  reserve(
    task: {
      readonly team: string;
      readonly workload: string;
      readonly need: Resources;
    },
    avoid: readonly string[],
  ): ReservationResult {
    const { allowances, pool, workers } = this.#options;
    const { need, workload } = task;
    const place = this.findWorker(need, { avoid, workload });
    const taken = place !== undefined && pool.allocate(place.worker, need);
    if (!taken) return this.#noCapacity(workload);
    if (allowances.tryAcquire(task.team)) {
      workers.capacityReserved(place.worker);
      return { type: "place", place };
    }
    pool.release(place.worker, task.need);
    allowances.request(task.team, 1);
    return this.#overLimit(task.team);
  }

  #overLimit(team: string): ReservationResult {
    const limit = this.#options.allowances.limitOf(team) ?? 0;
    const reason: Reason = { type: "overLimit", team, limit };
    return { type: "none", reason, retryAfterMs: LIMIT_RETRY_AFTER_MS };
  }

  #noCapacity(workload: string): ReservationResult {
    const inContact = this.#options.authority.hasValidLease();
    return inContact
      ? none({ type: "noRoom", workload })
      : none({ type: "isolated" });
  }

  #useReserved(
    reserved: ReservedCapacity,
    runRequest: RunRequest,
  ): ChosenWorker | undefined {
    const { pool, workers } = this.#options;
    const fence = workers.fenceOf(reserved.worker);
    const isUsable = fence !== undefined && workers.isUsable(reserved.worker) &&
      equal(reserved.need, runRequest.need) &&
      !runRequest.avoid.includes(reserved.worker);
    if (isUsable) return { worker: reserved.worker, fence };
    pool.release(reserved.worker, reserved.need);
    return undefined;
  }

  /**
   * The response to a run request that was started or barred before;
   * `undefined` otherwise.
   */
  #earlierResponse(id: string): RunResponse | undefined {
    const state = this.#runRequests.state(id);
    switch (state?.type) {
      case undefined:
        return undefined;
      case "barred":
        return notStarted({ type: "cancelled" });
      case "started": {
        const { worker } = state;
        return { type: "lost", reason: { type: "duplicateKey" }, worker };
      }
    }
  }

  #checkBeforeSend(
    runRequest: RunRequest,
    place: ChosenWorker,
  ): RunResponse | undefined {
    const earlierResponse = this.#earlierResponse(runRequest.id);
    if (earlierResponse !== undefined) return earlierResponse;
    const reason = this.rejectionReason(place);
    if (reason !== undefined) return notStarted(reason);
    const { timeoutMs } = runRequest.request;
    this.#runRequests.recordStart(runRequest.id, {
      worker: place.worker,
      timeoutMs,
    });
    return undefined;
  }

  async #send(
    runRequest: RunRequest,
    place: ChosenWorker,
  ): Promise<RunResponse> {
    const { clock, observer, pool, upstream, workers } = this.#options;
    const { worker } = place;
    const address = pool.worker(worker)?.address ?? "";
    const headers = {
      ...runRequest.request.headers,
      "zinniapoint-fence": String(place.fence),
    };
    const sentAtMs = clock.monotonic();
    this.addUsage(runRequest.team, runRequest.need, 1);
    workers.requestStarted(worker, runRequest.id);
    const request = { ...runRequest.request, headers };
    const result = await upstream.request(address, request);
    const elapsedMs = clock.monotonic() - sentAtMs;
    return result.match(
      (answer) => {
        const outcome = answer.status >= 500 ? "failed" : "succeeded";
        observer.runEnded(worker, {
          workload: runRequest.workload,
          outcome,
          elapsedMs,
        });
        workers.requestEnded(worker, runRequest.id);
        this.#releaseRun(runRequest, place, true);
        return { type: "done", answer: { ...answer, worker } };
      },
      (failure) =>
        this.#handleFailure(runRequest, { place, failure, elapsedMs }),
    );
  }

  #handleFailure(
    runRequest: RunRequest,
    { place, failure, elapsedMs }: {
      readonly place: ChosenWorker;
      readonly failure: WorkerFailure;
      readonly elapsedMs: number;
    },
  ): RunResponse {
    const { log, observer, workers } = this.#options;
    const { worker } = place;
    const { workload } = runRequest;
    log.warn("worker.failed", {
      worker,
      failure: failure.type,
      id: runRequest.id,
    });
    switch (failure.type) {
      case "workerUnreached":
      case "workerLeaving":
        this.#runRequests.remove(runRequest.id);
        workers.markUnreachable(worker, failure.type === "workerLeaving");
        workers.requestEnded(worker, runRequest.id);
        this.#releaseRun(runRequest, place, true);
        return { ...notStarted({ type: "workerLost", worker }), worker };
      case "workerRefused":
        observer.runEnded(worker, {
          workload,
          outcome: "refused",
          elapsedMs,
        });
        this.#runRequests.remove(runRequest.id);
        workers.requestEnded(worker, runRequest.id);
        this.#releaseRun(runRequest, place, true);
        return { ...notStarted({ type: "workerFailed", worker }), worker };
      case "workerFenced":
        this.#runRequests.remove(runRequest.id);
        workers.requestEnded(worker, runRequest.id);
        this.#releaseRun(runRequest, place, true);
        return { ...notStarted({ type: "workerFailed", worker }), worker };
      case "workerSilent":
        observer.runEnded(worker, {
          workload,
          outcome: "unknown",
          elapsedMs,
        });
        this.#trackLostRun(runRequest, worker);
        return { type: "lost", reason: { type: "workerLost", worker }, worker };
      default:
        return assertNever(failure);
    }
  }

  /**
   * Tracks a request that may still run after its connection was lost. Its
   * capacity and allowance stay reserved until a report of the worker shows
   * that the request has ended.
   */
  #trackLostRun(runRequest: RunRequest, worker: string): void {
    const { pool, workers } = this.#options;
    workers.requestLost(worker, runRequest);
    pool.release(worker, runRequest.need);
    this.addUsage(runRequest.team, runRequest.need, -1);
    const teams = this.#teamsOfLostRuns.get(worker) ?? [];
    teams.push(runRequest.team);
    this.#teamsOfLostRuns.set(worker, teams);
    this.notifyCapacityChanged();
  }

  #releaseLostRuns(): void {
    for (const [worker, teams] of this.#teamsOfLostRuns) {
      const unaccounted = this.#options.workers.unaccountedRequests(worker);
      while (teams.length > unaccounted) {
        this.#options.allowances.release(teams.shift()!);
      }
      if (teams.length === 0) this.#teamsOfLostRuns.delete(worker);
    }
  }

  #releaseRun(
    runRequest: RunRequest,
    place: ChosenWorker,
    charged = false,
  ): void {
    if (charged) this.addUsage(runRequest.team, runRequest.need, -1);
    this.release({ ...runRequest, worker: place.worker });
  }
}

function notStarted(
  reason: Reason,
): RunResponse & { readonly type: "notStarted" } {
  return {
    type: "notStarted",
    reason,
    retryAfterMs: undefined,
    worker: undefined,
  };
}

function none(reason: Reason): ReservationResult {
  return { type: "none", reason };
}
