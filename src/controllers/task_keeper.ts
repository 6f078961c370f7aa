/**
 * The owner's side of tasks: starts them on owned workers, keeps their leases,
 * and tells their holders how they ended.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { assertNever, type WorkerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { WorkerPool } from "../policy/pool.ts";
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
import { AttemptMemory } from "./attempt_memory.ts";
import type { HeldRoom } from "./offers.ts";
import type { OwnedWorkers, TaskSight } from "./owned_workers.ts";
import type { Placement, RunObserver } from "./placement.ts";
import type { Ending } from "./worker_standings.ts";

/** A worker stops a task whose lease was not renewed for so long, milliseconds. */
export const TASK_LEASE_MS = 15_000;
/** Time between renewals, milliseconds. */
const RENEW_INTERVAL_MS = 4_000;
/** Time between attempts to tell a holder of an end, milliseconds. */
const TELL_INTERVAL_MS = 500;
/** A start is in every report taken this much after its answer, milliseconds. */
const START_BLUR_MS = 2_000;
/** Leases on a worker that has not reported for so long are not renewed, milliseconds. */
const UNREACHABLE_MS = 10_000;
/** Tells the holder of a task how an attempt ended; resolves with whether it has kept that. */
export type TellHolder = (ended: {
  readonly task: string;
  readonly attempt: string;
  readonly end: AttemptCompletion;
  readonly worker: string;
}) => Promise<boolean>;

/** What the controller needs. */
export interface TaskKeeperOptions {
  readonly placement: Placement;
  readonly workers: OwnedWorkers;
  readonly pool: WorkerPool;
  readonly allowances: RunPermits;
  readonly upstream: Upstream;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly observer: RunObserver;
  readonly tell: TellHolder;
}

interface Kept {
  readonly attempt: string;
  readonly task: string;
  readonly team: string;
  readonly workload: string;
  readonly worker: string;
  readonly address: string;
  readonly need: Resources;
  readonly startedAtMs: number;
  /** Started by a former owner: its room is not taken from the pool. */
  readonly adopted: boolean;
  /** When the start was answered or given up; infinite before. */
  answeredAtMs: number;
  end?: AttemptCompletion;
}

/** What is known of an attempt on a worker. */
export type Whereabouts = "running" | "neverStarted" | "pending";

/** Keeps the tasks of the owned workers. */
export class TaskKeeper {
  readonly #options: TaskKeeperOptions;
  readonly #kept = new Map<string, Kept>();
  readonly #onWorker = new Map<string, Map<string, Kept>>();
  /** Attempts that must not be started. */
  readonly #barred: AttemptMemory;
  /** Attempts that were told to be lost. */
  readonly #lost: AttemptMemory;
  /** When each worker last reported. */
  readonly #seen = new Map<string, number>();
  /** Earliest time at which the figures of its last report were taken. */
  readonly #measured = new Map<string, number>();
  #timer: Timer | undefined;
  #stopped = false;

  constructor(options: TaskKeeperOptions) {
    this.#options = options;
    this.#barred = new AttemptMemory(options.clock);
    this.#lost = new AttemptMemory(options.clock);
    const { peers, workers } = options;
    workers.listen({
      roomChanged: () => {},
      tasksReported: (worker, sight) => this.#reported(worker, sight),
      trackedOn: (worker) => this.#placedOn(worker),
    });
    peers.serve(startCall, (order) => this.start(order));
    peers.serve(findAttemptCall, async ({ worker, attempt }) => ({
      state: await this.find(worker, attempt),
    }));
    peers.onNotification(
      stopAttemptsNotice,
      ({ attempts }) => this.stop(attempts),
    );
    this.#renewLater();
  }

  /** Number of tasks that are kept. */
  get size(): number {
    return this.#kept.size;
  }

  /** Starts a task in the room that was offered for it. */
  async start(order: StartRequest): Promise<StartResponse> {
    const { clock, pool, upstream } = this.#options;
    if (this.#kept.has(order.attempt)) return { type: "lost" };
    const room = this.#options.placement.offers.claim(order.offer);
    if (room === undefined) return notStarted("cancelled");
    const worker = pool.worker(room.worker);
    const refusal = this.#refusal(order, room);
    if (refusal !== undefined || worker === undefined) {
      this.#vacate(room);
      return notStarted(refusal ?? "noOwner");
    }
    const kept: Kept = {
      ...order,
      worker: room.worker,
      address: worker.address,
      need: room.need,
      startedAtMs: clock.monotonic(),
      adopted: false,
      answeredAtMs: Infinity,
    };
    this.#keep(kept);
    const result = await upstream.start(worker.address, {
      attempt: order.attempt,
      task: order.task,
      team: order.team,
      workload: order.workload,
      resources: room.need,
      fence: room.fence,
      leaseMs: TASK_LEASE_MS,
      payload: order.payload,
    });
    kept.answeredAtMs = clock.monotonic();
    return result.match(
      () => ({ type: "started" }),
      ({ type }) => this.#startFailed(kept, type),
    );
  }

  /** Stops attempts that run on owned workers. */
  stop(attempts: readonly string[], checkpoint = false): void {
    const { upstream, workers } = this.#options;
    for (const attempt of attempts) {
      const kept = this.#kept.get(attempt);
      const fence = kept && workers.fence(kept.worker);
      if (kept === undefined || fence === undefined) continue;
      void upstream.stop(kept.address, attempt, { fence, checkpoint });
    }
  }

  /** Finds out about an attempt on an owned worker; one that was not started is barred. */
  async find(worker: string, attempt: string): Promise<Whereabouts> {
    const { pool, upstream, workers } = this.#options;
    if (this.#kept.has(attempt)) return "running";
    const fence = workers.fence(worker);
    const address = pool.worker(worker)?.address;
    if (fence === undefined || address === undefined) return "pending";
    if (this.#unseenSinceBarred(attempt, worker)) return "neverStarted";
    const fenced = await upstream.renew(address, fence, []);
    if (fenced.isOk()) this.#barred.note(attempt);
    return "pending";
  }

  /** Ends the timers. */
  close(): void {
    this.#stopped = true;
    this.#timer?.cancel();
  }

  #refusal(
    order: StartRequest,
    room: HeldRoom,
  ): "cancelled" | "noOwner" | "isolated" | undefined {
    if (this.#barred.has(order.attempt)) return "cancelled";
    const { placement } = this.#options;
    const { worker, fence } = room;
    const reason = placement.refusal({ worker, fence });
    if (reason === undefined) return undefined;
    return reason.type === "isolated" ? "isolated" : "noOwner";
  }

  #startFailed(kept: Kept, type: WorkerFailure["type"]): StartResponse {
    const { log, workers } = this.#options;
    const { worker } = kept;
    log.warn("task.start_failed", { worker, type });
    if (kept.end !== undefined) return { type: "lost" };
    switch (type) {
      case "workerSilent":
        return { type: "lost" };
      case "workerUnreached":
      case "workerLeaving":
        workers.suspect(worker, type === "workerLeaving");
        this.#drop(kept);
        return notStarted("noRoom");
      case "workerRefused":
      case "workerFenced":
        this.#drop(kept);
        return notStarted("noOwner");
      default:
        return assertNever(type);
    }
  }

  /**
   * Whether the worker has reported without the attempt after it refused
   * older fencing numbers and starts of the attempt were barred here.
   */
  #unseenSinceBarred(attempt: string, worker: string): boolean {
    const measuredAtMs = this.#measured.get(worker) ?? -Infinity;
    return measuredAtMs > this.#barred.notedAtMs(attempt);
  }

  #keep(kept: Kept): void {
    this.#kept.set(kept.attempt, kept);
    const others = this.#onWorker.get(kept.worker) ?? new Map<string, Kept>();
    others.set(kept.attempt, kept);
    this.#onWorker.set(kept.worker, others);
    this.#options.placement.charge(kept.team, kept.need, 1);
  }

  #forget(kept: Kept): void {
    this.#kept.delete(kept.attempt);
    const others = this.#onWorker.get(kept.worker);
    others?.delete(kept.attempt);
    if (others?.size === 0) this.#onWorker.delete(kept.worker);
  }

  /** Forgets a task that does not run under this instance, whose holder needs no word of it. */
  #drop(kept: Kept): void {
    this.#forget(kept);
    if (kept.end === undefined) this.#free(kept);
  }

  #free(kept: Kept): void {
    this.#options.placement.charge(kept.team, kept.need, -1);
    this.#vacate(kept);
  }

  #vacate(
    room: {
      readonly worker: string;
      readonly team: string;
      readonly need: Resources;
      readonly adopted?: boolean;
    },
  ): void {
    const { allowances, placement, pool } = this.#options;
    if (room.adopted !== true) pool.release(room.worker, room.need);
    allowances.release(room.team);
    placement.roomChanged();
  }

  #placedOn(worker: string): ReadonlySet<string> {
    const all = [...(this.#onWorker.get(worker)?.values() ?? [])];
    return new Set(
      all.filter(({ adopted, end }) => !adopted && end === undefined).map((
        { attempt },
      ) => attempt),
    );
  }

  #reported(worker: Worker, { tasks, measuredAtMs }: TaskSight): void {
    const { clock, workers } = this.#options;
    this.#seen.set(worker.id, clock.monotonic());
    this.#measured.set(worker.id, measuredAtMs);
    const reported = new Set(tasks.map(({ attempt }) => attempt));
    for (const task of tasks) this.#take(worker, task);
    const owned = workers.fence(worker.id) !== undefined;
    for (const kept of this.#onWorker.get(worker.id)?.values() ?? []) {
      const settled = measuredAtMs - kept.answeredAtMs > START_BLUR_MS;
      if (settled && !reported.has(kept.attempt)) this.#gone(kept, owned);
    }
  }

  /** A task is not on its worker any more; whoever owns the worker now tells how it ended. */
  #gone(kept: Kept, owned: boolean): void {
    const detail = "the worker does not know it";
    if (owned) this.#end(kept, { type: "lost", detail });
    else if (kept.end === undefined) this.#drop(kept);
  }

  #take(worker: Worker, task: TaskReport): void {
    const known = this.#kept.get(task.attempt);
    const kept = known ?? this.#adopt(worker, task);
    if (kept === undefined) return;
    const end = endOf(task.state);
    if (end !== undefined) this.#end(kept, end);
  }

  #adopt(worker: Worker, task: TaskReport): Kept | undefined {
    const { allowances, clock, log, upstream, workers } = this.#options;
    const fence = workers.fence(worker.id);
    if (fence === undefined) return undefined;
    const { attempt } = task;
    if (this.#lost.has(attempt)) {
      void upstream.stop(worker.address, attempt, { fence, checkpoint: false });
      return undefined;
    }
    const kept: Kept = {
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
    this.#keep(kept);
    return kept;
  }

  #end(kept: Kept, end: AttemptCompletion): void {
    if (kept.end !== undefined) return;
    kept.end = end;
    if (end.type === "lost") this.#lost.note(kept.attempt);
    const { clock, log, observer } = this.#options;
    const tookMs = clock.monotonic() - kept.startedAtMs;
    const ending = endingOf(end);
    observer.ran(kept.worker, { workload: kept.workload, ending, tookMs });
    log.info("task.ended", {
      attempt: kept.attempt,
      task: kept.task,
      worker: kept.worker,
      end: end.type,
    });
    this.#free(kept);
    void this.#tell(kept, end);
  }

  async #tell(kept: Kept, end: AttemptCompletion): Promise<void> {
    const { attempt, task, worker, address } = kept;
    const { clock, tell, upstream } = this.#options;
    const taken = await tell({ attempt, task, worker, end });
    if (!taken) {
      if (this.#stopped) return;
      clock.after(TELL_INTERVAL_MS, () => void this.#tell(kept, end));
      return;
    }
    await upstream.forget(address, [attempt]);
    this.#forget(kept);
  }

  #renewLater(): void {
    this.#timer = this.#options.clock.after(RENEW_INTERVAL_MS, () => {
      for (const worker of this.#onWorker.keys()) void this.#renew(worker);
      if (!this.#stopped) this.#renewLater();
    });
  }

  async #renew(worker: string): Promise<void> {
    const { upstream, workers } = this.#options;
    if (this.#silentMs(worker) > UNREACHABLE_MS) return this.#giveUp(worker);
    const fence = workers.fence(worker);
    const all = [...(this.#onWorker.get(worker)?.values() ?? [])];
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
    const seenAtMs = this.#seen.get(worker) ?? nowMs;
    this.#seen.set(worker, seenAtMs);
    return nowMs - seenAtMs;
  }

  /** Counts the tasks of a worker as lost once their leases must have lapsed; only its owner may. */
  #giveUp(worker: string): void {
    const { placement, workers } = this.#options;
    const lapsedMs = UNREACHABLE_MS + RENEW_INTERVAL_MS + TASK_LEASE_MS;
    if (this.#silentMs(worker) <= lapsedMs) return;
    const fence = workers.fence(worker);
    if (fence === undefined) return this.#handOver(worker);
    if (placement.refusal({ worker, fence }) !== undefined) return;
    for (const kept of this.#onWorker.get(worker)?.values() ?? []) {
      this.#end(kept, { type: "lost", detail: "the worker is gone" });
    }
  }

  /** Leaves the tasks of a worker to its new owner. */
  #handOver(worker: string): void {
    for (const kept of this.#onWorker.get(worker)?.values() ?? []) {
      if (kept.end === undefined) this.#drop(kept);
    }
  }
}

/** What the end of a task says of its worker. */
function endingOf(end: AttemptCompletion): Ending {
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

function endOf(state: TaskState): AttemptCompletion | undefined {
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
