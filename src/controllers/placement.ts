/**
 * The owner's side of dispatching: places requests on owned workers and sends
 * them there. A request is sent only while the lease holds, the worker is
 * owned, its room is taken and the team's allowance is in hand.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { assertNever, type WorkerFailure } from "../errors.ts";
import { place } from "../kinds/registry.ts";
import type { Log } from "../logger.ts";
import type { Workload } from "../operator_set.ts";
import { Headroom } from "../policy/headroom.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { Authority, RunPermits } from "../ports/authority.ts";
import type { Upstream } from "../ports/upstream.ts";
import { add, equal, fits } from "../resources.ts";
import type { Reason, Resources } from "../types.ts";
import type { RunRequest, RunResponse } from "../wire/dispatch.ts";
import { type HeldRoom, Offers } from "./offers.ts";
import { OrderMemory } from "./order_memory.ts";
import { type OwnedWorkers, WORKER_UNIT } from "./owned_workers.ts";
import type { SizedTask } from "./task_sizes.ts";
import type { Run } from "./worker_standings.ts";

/** Time to come back after while a team is at its limit, milliseconds. */
const LIMIT_RETRY_MS = 250;

/** Told how each run on a worker went. */
export interface RunObserver {
  ran(worker: string, run: Run): void;
}

/** What the controller needs. */
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

/** Narrows a search for room. */
export interface RoomOptions {
  /** Whose kind decides where it goes. */
  readonly workload?: string;
  /** Workers that must not be used. */
  readonly avoid?: readonly string[];
}

/** Room taken on a worker. */
export interface Place {
  readonly worker: string;
  readonly fence: number;
}

/** Room with its team's allowance, or why there is none. */
export type PlaceResult =
  | { readonly type: "place"; readonly place: Place }
  | {
    readonly type: "none";
    readonly reason: Reason;
    readonly retryAfterMs?: number;
  };

/** Decides for the owned workers. */
export class Placement {
  readonly offers: Offers;
  readonly #options: PlacementOptions;
  readonly #roomListeners: (() => void)[] = [];
  readonly #orders: OrderMemory;
  readonly #lost = new Map<string, string[]>();
  readonly #usage = new Map<string, Resources>();
  readonly #headroom = new Headroom();
  #sizeOf: (task: SizedTask) => Resources = ({ need }) => need;

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#orders = new OrderMemory(options.clock);
    this.offers = new Offers({
      pool: options.pool,
      clock: options.clock,
      released: (room) => {
        options.allowances.release(room.team);
        this.roomChanged();
      },
    });
    options.workers.listen({
      roomChanged: () => {
        this.#settleLost();
        this.roomChanged();
      },
      tasksReported: () => {},
      trackedOn: () => new Set(),
    });
  }

  /** Sets how much is to be reserved for a task. */
  sizeBy(sizeOf: (task: SizedTask) => Resources): void {
    this.#sizeOf = sizeOf;
  }

  /** What is to be reserved for a task. */
  sizeOf(task: SizedTask): Resources {
    return this.#sizeOf(task);
  }

  /** Calls `listener` whenever there may be more room. */
  onRoom(listener: () => void): void {
    this.#roomListeners.push(listener);
  }

  /** Tells the listeners that there may be more room. */
  roomChanged(): void {
    for (const listener of this.#roomListeners) listener();
  }

  /** What each team has running on the owned workers. */
  usage(): ReadonlyMap<string, Resources> {
    return this.#usage;
  }

  /** Whether a deferred task leaves enough room for urgent requests to come. */
  leavesHeadroom(need: Resources): boolean {
    const { clock, pool } = this.#options;
    const { capacity, free } = pool.totals();
    const kept = this.#headroom.room(capacity, clock.monotonic());
    return fits(add(need, kept), free);
  }

  /** Sends a request to a worker, or says why not. */
  async run(order: RunRequest): Promise<RunResponse> {
    const earlier = this.#earlier(order.id);
    if (earlier !== undefined) return earlier;
    this.#headroom.urgent(order.need, this.#options.clock.monotonic());
    const found = this.#acquire(order);
    if (found.type === "none") {
      return { ...notStarted(found.reason), retryAfterMs: found.retryAfterMs };
    }
    const { place } = found;
    const barrier = this.#barrier(order, place);
    if (barrier !== undefined) {
      this.#vacate(order, place);
      return barrier;
    }
    return await this.#send(order, place);
  }

  /** Whether an order was started. One that was not is barred from then on. */
  settle(id: string): boolean {
    return !this.#orders.bar(id);
  }

  /** Where a task or request could be placed now; nothing is taken. */
  findRoom(need: Resources, options: RoomOptions = {}): Place | undefined {
    const { authority, workers } = this.#options;
    if (!authority.hasValidLease()) return undefined;
    const worker = this.#workerFor(need, options);
    if (worker === undefined) return undefined;
    const fence = workers.fence(worker);
    return fence === undefined ? undefined : { worker, fence };
  }

  /** The worker that the policy of the workload's kind picks. */
  #workerFor(need: Resources, options: RoomOptions): string | undefined {
    const { pool, workloadOf } = this.#options;
    const workload = workloadOf(options.workload ?? "");
    const context = { pool, need, avoid: new Set(options.avoid) };
    switch (workload?.kind) {
      case undefined:
      case "gang":
        return pool.place(need, context);
      case "service":
      case "batch": {
        const placed = place(workload, context);
        return placed.type === "placed" ? placed.workers[0] : undefined;
      }
      default:
        return assertNever(workload);
    }
  }

  /** Gives back room and allowance that were reserved and not used. */
  giveBack(room: Pick<HeldRoom, "worker" | "team" | "need">): void {
    this.#options.pool.release(room.worker, room.need);
    this.#options.allowances.release(room.team);
    this.roomChanged();
  }

  /** Why nothing may start on a worker under a fencing number now; `undefined` if it may. */
  refusal(place: Place): Reason | undefined {
    const { authority, workers } = this.#options;
    if (!authority.hasValidLease()) return { type: "isolated" };
    const unit = WORKER_UNIT + place.worker;
    const owned = authority.mayDecide(unit) &&
      workers.fence(place.worker) === place.fence;
    return owned ? undefined : { type: "noOwner" };
  }

  /** Accounts for what a team has running. */
  charge(team: string, need: Resources, sign: 1 | -1): void {
    if (sign < 0) this.#headroom.ended(this.#options.clock.monotonic());
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

  #acquire(order: RunRequest): PlaceResult {
    const { offer, need, team, avoid } = order;
    const held = offer === undefined ? undefined : this.offers.claim(offer);
    if (held === undefined) return this.reserve(order, avoid);
    const place = this.#placeOf(held, order);
    if (place !== undefined) return { type: "place", place };
    this.#options.allowances.release(held.team);
    return this.reserve({ team, need, workload: order.workload }, avoid);
  }

  /** Takes room and allowance; whoever gets them gives them back. */
  reserve(
    task: {
      readonly team: string;
      readonly workload: string;
      readonly need: Resources;
    },
    avoid: readonly string[],
  ): PlaceResult {
    const { allowances, pool, workers } = this.#options;
    const { need, workload } = task;
    const place = this.findRoom(need, { avoid, workload });
    const taken = place !== undefined && pool.take(place.worker, need);
    if (!taken) return this.#noRoom(workload);
    if (allowances.tryAcquire(task.team)) {
      workers.roomTaken(place.worker);
      return { type: "place", place };
    }
    pool.release(place.worker, task.need);
    allowances.request(task.team, 1);
    return this.#atLimit(task.team);
  }

  #atLimit(team: string): PlaceResult {
    const limit = this.#options.allowances.limitOf(team) ?? 0;
    const reason: Reason = { type: "overLimit", team, limit };
    return { type: "none", reason, retryAfterMs: LIMIT_RETRY_MS };
  }

  #noRoom(workload: string): PlaceResult {
    const inContact = this.#options.authority.hasValidLease();
    return inContact
      ? none({ type: "noRoom", workload })
      : none({ type: "isolated" });
  }

  #placeOf(held: HeldRoom, order: RunRequest): Place | undefined {
    const { pool, workers } = this.#options;
    const fence = workers.fence(held.worker);
    const suits = fence !== undefined && workers.usable(held.worker) &&
      equal(held.need, order.need) && !order.avoid.includes(held.worker);
    if (suits) return { worker: held.worker, fence };
    pool.release(held.worker, held.need);
    return undefined;
  }

  /** What to answer to an order that was started or barred before. */
  #earlier(id: string): RunResponse | undefined {
    const order = this.#orders.state(id);
    switch (order?.type) {
      case undefined:
        return undefined;
      case "barred":
        return notStarted({ type: "cancelled" });
      case "started": {
        const { worker } = order;
        return { type: "lost", reason: { type: "duplicateKey" }, worker };
      }
    }
  }

  #barrier(order: RunRequest, place: Place): RunResponse | undefined {
    const earlier = this.#earlier(order.id);
    if (earlier !== undefined) return earlier;
    const refusal = this.refusal(place);
    if (refusal !== undefined) return notStarted(refusal);
    const { timeoutMs } = order.request;
    this.#orders.started(order.id, { worker: place.worker, timeoutMs });
    return undefined;
  }

  async #send(order: RunRequest, place: Place): Promise<RunResponse> {
    const { clock, observer, pool, upstream, workers } = this.#options;
    const { worker } = place;
    const address = pool.worker(worker)?.address ?? "";
    const headers = {
      ...order.request.headers,
      "zinniapoint-fence": String(place.fence),
    };
    const sentAtMs = clock.monotonic();
    this.charge(order.team, order.need, 1);
    workers.requestStarted(worker, order.id);
    const request = { ...order.request, headers };
    const result = await upstream.request(address, request);
    const tookMs = clock.monotonic() - sentAtMs;
    return result.match(
      (answer) => {
        const ending = answer.status >= 500 ? "failed" : "succeeded";
        observer.ran(worker, { workload: order.workload, ending, tookMs });
        workers.requestEnded(worker, order.id);
        this.#vacate(order, place, true);
        return { type: "done", answer: { ...answer, worker } };
      },
      (failure) => this.#failed(order, { place, failure, tookMs }),
    );
  }

  #failed(
    order: RunRequest,
    { place, failure, tookMs }: {
      readonly place: Place;
      readonly failure: WorkerFailure;
      readonly tookMs: number;
    },
  ): RunResponse {
    const { log, observer, workers } = this.#options;
    const { worker } = place;
    const { workload } = order;
    log.warn("worker.failed", { worker, failure: failure.type, id: order.id });
    switch (failure.type) {
      case "workerUnreached":
      case "workerLeaving":
        this.#orders.forget(order.id);
        workers.suspect(worker, failure.type === "workerLeaving");
        workers.requestEnded(worker, order.id);
        this.#vacate(order, place, true);
        return { ...notStarted({ type: "workerLost", worker }), worker };
      case "workerRefused":
        observer.ran(worker, { workload, ending: "refused", tookMs });
        this.#orders.forget(order.id);
        workers.requestEnded(worker, order.id);
        this.#vacate(order, place, true);
        return { ...notStarted({ type: "workerFailed", worker }), worker };
      case "workerFenced":
        this.#orders.forget(order.id);
        workers.requestEnded(worker, order.id);
        this.#vacate(order, place, true);
        return { ...notStarted({ type: "workerFailed", worker }), worker };
      case "workerSilent":
        observer.ran(worker, { workload, ending: "unknown", tookMs });
        this.#lose(order, worker);
        return { type: "lost", reason: { type: "workerLost", worker }, worker };
      default:
        return assertNever(failure);
    }
  }

  /** Keeps room and allowance until the worker's reports show the request gone. */
  #lose(order: RunRequest, worker: string): void {
    const { pool, workers } = this.#options;
    workers.requestLost(worker, order);
    pool.release(worker, order.need);
    this.charge(order.team, order.need, -1);
    const teams = this.#lost.get(worker) ?? [];
    teams.push(order.team);
    this.#lost.set(worker, teams);
    this.roomChanged();
  }

  #settleLost(): void {
    for (const [worker, teams] of this.#lost) {
      const still = this.#options.workers.unaccounted(worker);
      while (teams.length > still) {
        this.#options.allowances.release(teams.shift()!);
      }
      if (teams.length === 0) this.#lost.delete(worker);
    }
  }

  #vacate(order: RunRequest, place: Place, charged = false): void {
    if (charged) this.charge(order.team, order.need, -1);
    this.giveBack({ ...order, worker: place.worker });
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

function none(reason: Reason): PlaceResult {
  return { type: "none", reason };
}
