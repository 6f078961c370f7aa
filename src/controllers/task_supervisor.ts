/**
 * Supervises tasks at the owner of their workers: starts them, renews their
 * leases, and reports their completion to their origin.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { assertNever, type WorkerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { RunPermits } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import type { TaskReport, TaskState, Upstream } from "../ports/upstream.ts";
import type { Resources, Worker } from "../types.ts";
import {
  type AttemptCompletion,
  findAttemptCall,
  startCall,
  type StartRequest,
  type StartResponse,
  stopAttemptsNotice,
} from "../wire/dispatch.ts";
import { RecentAttempts } from "./recent_attempts.ts";
import type { ReservedCapacity } from "./offers.ts";
import type { OwnedWorkers, ReportedTasks } from "./owned_workers.ts";
import type { Placement, RunObserver } from "./placement.ts";
import type { RunOutcome } from "./worker_health.ts";

/** Lease duration of a task: without a renewal for this long, the worker stops it. */
export const TASK_LEASE_MS = 15_000;
const LEASE_RENEWAL_INTERVAL_MS = 4_000;
/** Delay before an unacknowledged completion is reported to the origin again. */
const COMPLETION_RETRY_DELAY_MS = 500;
/** A report measured more than this after the start response must include the task. */
const START_REPORT_TOLERANCE_MS = 2_000;
/** Without a report for this long, the task leases of a worker are no longer renewed. */
const WORKER_SILENCE_TIMEOUT_MS = 10_000;

/** Reports the completion of an attempt to the origin of its task; resolves with whether the origin journalled it. */
export type ReportCompletion = (ended: {
  readonly task: string;
  readonly attempt: string;
  readonly end: AttemptCompletion;
  readonly worker: string;
}) => Promise<boolean>;

/** Options of the controller. */
export interface TaskSupervisorOptions {
  readonly placement: Placement;
  readonly workers: OwnedWorkers;
  readonly pool: WorkerPool;
  readonly allowances: RunPermits;
  readonly upstream: Upstream;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly observer: RunObserver;
  readonly reportCompletion: ReportCompletion;
}

interface SupervisedTask {
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly worker: string;
  readonly address: string;
  readonly need: Resources;
  readonly startedAtMs: number;
  /** Whether a previous owner started it; then its capacity is not reserved in the pool. */
  readonly adopted: boolean;
  /** When the start request was answered or failed, monotonic milliseconds; infinite before. */
  answeredAtMs: number;
  end?: AttemptCompletion;
}

/** State of an attempt on a worker as its owner can establish it; `pending` if it cannot yet. */
export type AttemptPresence = "running" | "neverStarted" | "pending";

/** Supervises the tasks of the owned workers. */
export class TaskSupervisor {
  readonly #options: TaskSupervisorOptions;
  readonly #tasks = new Map<string, SupervisedTask>();
  readonly #tasksByWorker = new Map<string, Map<string, SupervisedTask>>();
  /** Attempts for which start requests are rejected. */
  readonly #blocked: RecentAttempts;
  /** Attempts that were reported as lost. */
  readonly #lost: RecentAttempts;
  /** Time of the last report of each worker, monotonic milliseconds. */
  readonly #lastReportAtMs = new Map<string, number>();
  /** Earliest time at which the last report of each worker was measured, monotonic milliseconds. */
  readonly #lastMeasuredAtMs = new Map<string, number>();
  #timer: Timer | undefined;
  #stopped = false;

  constructor(options: TaskSupervisorOptions) {
    this.#options = options;
    this.#blocked = new RecentAttempts(options.clock);
    this.#lost = new RecentAttempts(options.clock);
    const { peers, workers } = options;
    workers.addListener({
      capacityChanged: () => {},
      tasksReported: (worker, sight) => this.#onReport(worker, sight),
      trackedAttempts: (worker) => this.#activeAttemptsOn(worker),
    });
    peers.serve(startCall, (request) => this.start(request));
    peers.serve(findAttemptCall, async ({ worker, attempt }) => ({
      state: await this.find(worker, attempt),
    }));
    peers.onNotification(
      stopAttemptsNotice,
      ({ attempts }) => this.stop(attempts),
    );
    this.#scheduleRenewal();
  }

  /** Number of supervised tasks. */
  get size(): number {
    return this.#tasks.size;
  }

  /**
   * Starts a task on the worker capacity reserved by its offer. Responds with
   * `lost` if the worker may have started the attempt.
   */
  async start(request: StartRequest): Promise<StartResponse> {
    const { clock, pool, upstream } = this.#options;
    if (this.#tasks.has(request.attempt)) return { type: "lost" };
    const offered = this.#options.placement.offers.take(request.offer);
    if (offered === undefined) return notStarted("cancelled");
    const worker = pool.worker(offered.worker);
    const rejection = this.#rejectionOf(request, offered);
    if (rejection !== undefined || worker === undefined) {
      this.#releaseCapacity(offered);
      return notStarted(rejection ?? "noOwner");
    }
    const task: SupervisedTask = {
      ...request,
      worker: offered.worker,
      address: worker.address,
      need: offered.need,
      startedAtMs: clock.monotonic(),
      adopted: false,
      answeredAtMs: Infinity,
    };
    this.#add(task);
    const result = await upstream.start(worker.address, {
      attempt: request.attempt,
      task: request.task,
      team: request.team,
      workload: request.workload,
      resources: offered.need,
      fence: offered.fence,
      leaseMs: TASK_LEASE_MS,
      payload: request.payload,
    });
    task.answeredAtMs = clock.monotonic();
    return result.match(
      () => ({ type: "started" }),
      ({ type }) => this.#startFailed(task, type),
    );
  }

  /** Stops attempts that run on owned workers; with a checkpoint, if requested. */
  stop(attempts: readonly string[], checkpoint = false): void {
    const { upstream, workers } = this.#options;
    for (const attempt of attempts) {
      const task = this.#tasks.get(attempt);
      const fence = task && workers.fenceOf(task.worker);
      if (task === undefined || fence === undefined) continue;
      void upstream.stop(task.address, attempt, { fence, checkpoint });
    }
  }

  /**
   * Determines whether an attempt is running on an owned worker. Start requests
   * for an unknown attempt are rejected from then on, and the worker is fenced
   * against those of previous owners, so that `neverStarted` stays true.
   */
  async find(worker: string, attempt: string): Promise<AttemptPresence> {
    const { pool, upstream, workers } = this.#options;
    if (this.#tasks.has(attempt)) return "running";
    const fence = workers.fenceOf(worker);
    const address = pool.worker(worker)?.address;
    if (fence === undefined || address === undefined) return "pending";
    if (this.#isAbsentSinceBlocked(attempt, worker)) return "neverStarted";
    const fenced = await upstream.renew(address, fence, []);
    if (fenced.isOk()) this.#blocked.record(attempt);
    return "pending";
  }

  /** Stops lease renewal and the retries of completion reports. */
  close(): void {
    this.#stopped = true;
    this.#timer?.cancel();
  }

  #rejectionOf(
    request: StartRequest,
    offered: ReservedCapacity,
  ): "cancelled" | "noOwner" | "isolated" | undefined {
    if (this.#blocked.has(request.attempt)) return "cancelled";
    const { placement } = this.#options;
    const { worker, fence } = offered;
    const reason = placement.rejectionReason({ worker, fence });
    if (reason === undefined) return undefined;
    return reason.type === "isolated" ? "isolated" : "noOwner";
  }

  #startFailed(
    task: SupervisedTask,
    type: WorkerFailure["type"],
  ): StartResponse {
    const { log, workers } = this.#options;
    const { worker } = task;
    log.warn("task.start_failed", { worker, type });
    if (task.end !== undefined) return { type: "lost" };
    switch (type) {
      case "workerSilent":
        return { type: "lost" };
      case "workerUnreached":
      case "workerLeaving":
        workers.markUnreachable(worker, type === "workerLeaving");
        this.#discard(task);
        return notStarted("noRoom");
      case "workerRefused":
      case "workerFenced":
        this.#discard(task);
        return notStarted("noOwner");
      default:
        return assertNever(type);
    }
  }

  /**
   * Whether the worker has sent a report without the attempt that was measured
   * after the worker was fenced against older fencing tokens and start requests
   * for the attempt were rejected here.
   */
  #isAbsentSinceBlocked(attempt: string, worker: string): boolean {
    const measuredAtMs = this.#lastMeasuredAtMs.get(worker) ?? -Infinity;
    return measuredAtMs > this.#blocked.recordedAtMs(attempt);
  }

  #add(task: SupervisedTask): void {
    this.#tasks.set(task.attempt, task);
    const others = this.#tasksByWorker.get(task.worker) ??
      new Map<string, SupervisedTask>();
    others.set(task.attempt, task);
    this.#tasksByWorker.set(task.worker, others);
    this.#options.placement.addUsage(task.team, task.need, 1);
  }

  #remove(task: SupervisedTask): void {
    this.#tasks.delete(task.attempt);
    const others = this.#tasksByWorker.get(task.worker);
    others?.delete(task.attempt);
    if (others?.size === 0) this.#tasksByWorker.delete(task.worker);
  }

  /** Removes a task without a report to its origin: it was not started here or has a new owner. */
  #discard(task: SupervisedTask): void {
    this.#remove(task);
    if (task.end === undefined) this.#releaseUsage(task);
  }

  #releaseUsage(task: SupervisedTask): void {
    this.#options.placement.addUsage(task.team, task.need, -1);
    this.#releaseCapacity(task);
  }

  #releaseCapacity(
    reservation: {
      readonly worker: string;
      readonly team: string;
      readonly need: Resources;
      readonly adopted?: boolean;
    },
  ): void {
    const { allowances, placement, pool } = this.#options;
    if (reservation.adopted !== true) {
      pool.release(reservation.worker, reservation.need);
    }
    allowances.release(reservation.team);
    placement.notifyCapacityChanged();
  }

  #activeAttemptsOn(worker: string): ReadonlySet<string> {
    const all = [...(this.#tasksByWorker.get(worker)?.values() ?? [])];
    return new Set(
      all.filter(({ adopted, end }) => !adopted && end === undefined).map((
        { attempt },
      ) => attempt),
    );
  }

  #onReport(worker: Worker, { tasks, measuredAtMs }: ReportedTasks): void {
    const { clock, workers } = this.#options;
    this.#lastReportAtMs.set(worker.id, clock.monotonic());
    this.#lastMeasuredAtMs.set(worker.id, measuredAtMs);
    const reportedAttempts = new Set(tasks.map(({ attempt }) => attempt));
    for (const task of tasks) this.#onReportedTask(worker, task);
    const isOwned = workers.fenceOf(worker.id) !== undefined;
    for (
      const supervised of this.#tasksByWorker.get(worker.id)?.values() ?? []
    ) {
      const isStartCovered =
        measuredAtMs - supervised.answeredAtMs > START_REPORT_TOLERANCE_MS;
      if (isStartCovered && !reportedAttempts.has(supervised.attempt)) {
        this.#onMissingTask(supervised, isOwned);
      }
    }
  }

  /** Handles a task that is missing from the report of its worker. Only the owner of the worker may report it lost. */
  #onMissingTask(task: SupervisedTask, isOwned: boolean): void {
    const detail = "the worker no longer reports the task";
    if (isOwned) this.#complete(task, { type: "lost", detail });
    else if (task.end === undefined) this.#discard(task);
  }

  #onReportedTask(worker: Worker, task: TaskReport): void {
    const known = this.#tasks.get(task.attempt);
    const supervised = known ?? this.#adopt(worker, task);
    if (supervised === undefined) return;
    const end = completionOf(task.state);
    if (end !== undefined) this.#complete(supervised, end);
  }

  #adopt(worker: Worker, task: TaskReport): SupervisedTask | undefined {
    const { allowances, clock, log, upstream, workers } = this.#options;
    const fence = workers.fenceOf(worker.id);
    if (fence === undefined) return undefined;
    const { attempt } = task;
    if (this.#lost.has(attempt)) {
      void upstream.stop(worker.address, attempt, { fence, checkpoint: false });
      return undefined;
    }
    const supervised: SupervisedTask = {
      attempt,
      task: task.task,
      team: task.team,
      workload: task.workload,
      worker: worker.id,
      address: worker.address,
      need: task.declared,
      startedAtMs: clock.monotonic(),
      adopted: true,
      answeredAtMs: clock.monotonic(),
    };
    log.info("task.adopted", { attempt, worker: worker.id });
    allowances.adopt(task.team, 1);
    this.#add(supervised);
    return supervised;
  }

  #complete(task: SupervisedTask, end: AttemptCompletion): void {
    if (task.end !== undefined) return;
    task.end = end;
    if (end.type === "lost") this.#lost.record(task.attempt);
    const { clock, log, observer } = this.#options;
    const elapsedMs = clock.monotonic() - task.startedAtMs;
    const outcome = healthOutcomeOf(end);
    observer.runEnded(task.worker, {
      workload: task.workload,
      outcome,
      elapsedMs,
    });
    log.info("task.ended", {
      attempt: task.attempt,
      task: task.task,
      worker: task.worker,
      end: end.type,
    });
    this.#releaseUsage(task);
    void this.#reportCompletion(task, end);
  }

  async #reportCompletion(
    supervised: SupervisedTask,
    end: AttemptCompletion,
  ): Promise<void> {
    const { attempt, task, worker, address } = supervised;
    const { clock, reportCompletion, upstream } = this.#options;
    const taken = await reportCompletion({ attempt, task, worker, end });
    if (!taken) {
      if (this.#stopped) return;
      clock.after(
        COMPLETION_RETRY_DELAY_MS,
        () => void this.#reportCompletion(supervised, end),
      );
      return;
    }
    await upstream.forget(address, [attempt]);
    this.#remove(supervised);
  }

  #scheduleRenewal(): void {
    this.#timer = this.#options.clock.after(LEASE_RENEWAL_INTERVAL_MS, () => {
      for (const worker of this.#tasksByWorker.keys()) void this.#renew(worker);
      if (!this.#stopped) this.#scheduleRenewal();
    });
  }

  async #renew(worker: string): Promise<void> {
    const { upstream, workers } = this.#options;
    if (this.#silentMs(worker) > WORKER_SILENCE_TIMEOUT_MS) {
      return this.#expireLeases(worker);
    }
    const fence = workers.fenceOf(worker);
    const all = [...(this.#tasksByWorker.get(worker)?.values() ?? [])];
    const running = all.filter(({ end }) => end === undefined);
    const first = running[0];
    if (fence === undefined || first === undefined) return;
    const attempts = running.map(({ attempt }) => attempt);
    const renewed = await upstream.renew(first.address, fence, attempts);
    if (renewed.isErr()) {
      const { type } = renewed.error;
      this.#options.log.warn("task.renew_failed", { worker, type });
    }
  }

  #silentMs(worker: string): number {
    const nowMs = this.#options.clock.monotonic();
    const seenAtMs = this.#lastReportAtMs.get(worker) ?? nowMs;
    this.#lastReportAtMs.set(worker, seenAtMs);
    return nowMs - seenAtMs;
  }

  /**
   * Reports the tasks of a silent worker as lost once their leases must have
   * expired. An owner that may not start tasks at present waits; an instance
   * that no longer owns the worker discards the tasks.
   */
  #expireLeases(worker: string): void {
    const { placement, workers } = this.#options;
    const expiredMs = WORKER_SILENCE_TIMEOUT_MS + LEASE_RENEWAL_INTERVAL_MS +
      TASK_LEASE_MS;
    if (this.#silentMs(worker) <= expiredMs) return;
    const fence = workers.fenceOf(worker);
    if (fence === undefined) return this.#discardTasksOf(worker);
    if (placement.rejectionReason({ worker, fence }) !== undefined) return;
    for (const supervised of this.#tasksByWorker.get(worker)?.values() ?? []) {
      this.#complete(supervised, {
        type: "lost",
        detail: "the worker sent no report until after the task lease expired",
      });
    }
  }

  /** Discards the tasks of a worker that has a new owner, which supervises them from then on. */
  #discardTasksOf(worker: string): void {
    for (const supervised of this.#tasksByWorker.get(worker)?.values() ?? []) {
      if (supervised.end === undefined) this.#discard(supervised);
    }
  }
}

/** Maps a completion to the outcome that counts for the health of the worker. */
function healthOutcomeOf(end: AttemptCompletion): RunOutcome {
  switch (end.type) {
    case "succeeded":
    case "failed":
      return end.type;
    case "stopped":
    case "lost":
      return "unknown";
    default:
      return assertNever(end);
  }
}

function completionOf(state: TaskState): AttemptCompletion | undefined {
  switch (state.type) {
    case "running":
    case "throttled":
      return undefined;
    case "succeeded":
      return { type: "succeeded", result: state.result };
    case "failed":
      return { type: "failed", detail: state.detail };
    case "stopped":
      return { type: "stopped", checkpoint: state.checkpoint };
    default:
      return assertNever(state);
  }
}

function notStarted(type: "cancelled" | "noOwner" | "isolated" | "noRoom") {
  const reason = type === "noRoom"
    ? { type, workload: "" } as const
    : { type } as const;
  return { type: "notStarted", reason } as const;
}
