/**
 * The holder's side of tasks: each waits for room, is written ahead in the
 * journal, and is started by the owner of its worker.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import { unreachable } from "../errors.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import type { Log } from "../logger.ts";
import type { Queue, Workload } from "../operator_set.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import type {
  FindFailure,
  Finding,
  RunnableTask,
  Runner,
  StartedAttempt,
} from "../ports/runner.ts";
import type { Instance } from "../types.ts";
import {
  cancelNotice,
  findCall,
  reserveCall,
  startCall,
  type StartOrder,
  type StartResult,
  stopNotice,
} from "../wire/dispatch.ts";
import type { Deferred } from "./deferred.ts";
import type { Fleet } from "./fleet.ts";
import type { Gangs } from "./gangs.ts";
import type { Matching, Startable, Target } from "./matching.ts";
import { WORKER_UNIT } from "./owned_workers.ts";
import type { Placement } from "./placement.ts";
import { TASK_LEASE_MS, type TaskKeeper } from "./task_keeper.ts";

/** Room that was reserved for a task is free again after so long, milliseconds. */
export const RESERVE_LAPSE_MS = 5_000;
/** Longest wait for another instance, milliseconds. */
const PEER_WAIT_MS = 3_000;
/** Time between questions after an attempt whose start was not answered, milliseconds. */
const FIND_INTERVAL_MS = 1_000;
/** Pause before a task that could not be started waits anew, milliseconds. */
const REQUEUE_PAUSE_MS = 100;

/** What the controller needs. */
export interface TasksOptions {
  readonly self: string;
  readonly authority: Authority;
  readonly matching: Matching;
  readonly placement: Placement;
  readonly keeper: TaskKeeper;
  readonly fleet: Fleet;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly queueOf: (name: string) => Queue | undefined;
}

/** Room for one task at one instance. */
export interface TaskOffer {
  readonly offer: string;
  readonly worker: string;
  readonly fence: number;
  /** The worker's owner. */
  readonly owner: string;
}

/** Runs the tasks of the segments that this instance holds. */
export class Tasks implements Runner {
  readonly #options: TasksOptions;
  readonly #waitingOf = new Map<string, Set<string>>();
  #deferred: Deferred | undefined;
  #gangs: Gangs | undefined;

  constructor(options: TasksOptions) {
    this.#options = options;
    const { peers, placement } = options;
    peers.serve(reserveCall, ({ reservation, count, ...task }) => ({
      offers: this.#reserveHere(reservation, { ...task, count }),
    }));
    peers.listen(cancelNotice, ({ reservation }) => {
      placement.offers.cancel(reservation);
    });
  }

  /** Joins the journal's controller and the gangs, which need this one. */
  connect(deferred: Deferred, gangs: Gangs): void {
    this.#deferred = deferred;
    this.#gangs = gangs;
  }

  enqueue(tasks: readonly RunnableTask[]): void {
    if (tasks[0]?.gangSize !== undefined) this.#gangs?.enqueue(tasks);
    else for (const task of tasks) this.#wait(task);
  }

  withdraw(works: readonly string[]): void {
    for (const work of works) {
      this.#gangs?.withdraw(work);
      for (const id of this.#waitingOf.get(work) ?? []) {
        this.#options.matching.withdraw(id);
      }
      this.#waitingOf.delete(work);
    }
  }

  cancel(attempts: readonly StartedAttempt[]): void {
    const { authority, keeper, peers, self } = this.#options;
    for (const { worker, attempt } of attempts) {
      const owner = authority.ownerOf(WORKER_UNIT + worker)?.id;
      if (owner === self) keeper.stop([attempt]);
      else if (owner !== undefined) {
        peers.notify(owner, stopNotice, { attempts: [attempt], worker });
      }
    }
  }

  find(attempt: StartedAttempt): ResultAsync<Finding, FindFailure> {
    const { authority, fleet, peers, self, keeper } = this.#options;
    const { worker } = attempt;
    if (fleet.absentMs(worker) > TASK_LEASE_MS) {
      return okAsync({ type: "unknown" });
    }
    const owner = authority.ownerOf(WORKER_UNIT + worker);
    if (owner === undefined) return errAsync(pending);
    const params = { worker, attempt: attempt.attempt };
    const state = owner.id === self
      ? ResultAsync.fromSafePromise(keeper.find(worker, attempt.attempt))
      : peers
        .call(owner.id, findCall, { params, timeoutMs: PEER_WAIT_MS })
        .map((answer) => answer.state);
    return state.mapErr(() => pending).andThen((found) => {
      return found === "pending"
        ? errAsync(pending)
        : okAsync<Finding>({ type: found });
    });
  }

  /** Asks an instance for room for several tasks. */
  async reserveAt(
    owner: string,
    wanted: {
      readonly reservation: string;
      readonly team: string;
      readonly workload: Workload;
      readonly count: number;
    },
  ): Promise<TaskOffer[]> {
    const { peers, self } = this.#options;
    const { reservation, team, workload, count } = wanted;
    const task = { team, workload: workload.name, need: workload.resources };
    if (owner === self) {
      const rooms = this.#reserveHere(reservation, {
        ...task,
        count,
        avoid: [],
      });
      return rooms.map((room) => ({ ...room, owner }));
    }
    const answer = await peers.call(owner, reserveCall, {
      params: { reservation, ...task, count, avoid: [] },
      timeoutMs: PEER_WAIT_MS,
    });
    const offers = answer.map((given) => given.offers).unwrapOr([]);
    return offers.map((offer) => ({ ...offer, owner }));
  }

  /** Gives up a reservation, also one whose answer was not heard. */
  cancelAt(owner: string, reservation: string): void {
    const { peers, placement, self } = this.#options;
    if (owner === self) placement.offers.cancel(reservation);
    else peers.notify(owner, cancelNotice, { reservation });
  }

  /** Starts an attempt that was written ahead, and writes down if it was not started. */
  async startAt(
    task: RunnableTask,
    { attempt, offer }: {
      readonly attempt: string;
      readonly offer: TaskOffer;
    },
  ): Promise<void> {
    const started: StartedAttempt = { ...task, ...offer, attempt };
    const result = await this.#order(offer.owner, {
      offer: offer.offer,
      attempt,
      task: `${task.work}/${task.task}`,
      team: task.team,
      workload: task.workload,
      payload: task.payload,
    });
    this.#options.log.info("task.start", {
      work: task.work,
      task: task.task,
      attempt,
      worker: offer.worker,
      result: result.type,
      reason: result.type === "notStarted" ? result.reason.type : undefined,
    });
    switch (result.type) {
      case "started":
        return;
      case "notStarted":
        return await this.ended(started, { type: "notStarted" });
      case "lost":
        return await this.#settle(started);
      default:
        return unreachable(result);
    }
  }

  /** Writes down how an attempt ended; what cannot be written now is kept by the journal's controller. */
  async ended(
    attempt: Pick<StartedAttempt, "work" | "task" | "attempt">,
    outcome: AttemptOutcome,
  ): Promise<void> {
    const written = await this.#deferred?.ended(attempt, outcome);
    if (written?.isErr()) {
      const { type } = written.error;
      this.#options.log.warn("task.ending_not_written", {
        attempt: attempt.attempt,
        type,
      });
    }
  }

  #wait(task: RunnableTask): void {
    const { log, matching } = this.#options;
    const startable = this.#startable(task);
    if (startable === undefined) {
      log.warn("task.unknown_workload", { work: task.work });
      this.#waitAgain(task);
      return;
    }
    const { id } = startable.waiting;
    const ids = this.#waitingOf.get(task.work) ?? new Set();
    this.#waitingOf.set(task.work, ids.add(id));
    if (matching.submit(startable).isErr()) this.#waitAgain(task);
  }

  #waitAgain(task: RunnableTask): void {
    this.#options.clock.after(REQUEUE_PAUSE_MS, () => this.#wait(task));
  }

  #startable(task: RunnableTask): Startable | undefined {
    const { clock, queueOf, workloadOf } = this.#options;
    const workload = workloadOf(task.workload);
    const queue = workload && queueOf(workload.queue);
    if (workload === undefined || queue === undefined) return undefined;
    const ageMs = clock.now().getTime() - task.submittedAt;
    const arrivedAtMs = clock.monotonic() - ageMs;
    const dueMs = workload.kind === "service" ? 0 : workload.dueMs;
    return {
      waiting: {
        id: `${task.work}/${task.task}/${task.attempts}`,
        team: task.team,
        queue: queue.name,
        workload: workload.name,
        urgency: queue.urgency,
        need: workload.resources,
        arrivedAtMs,
        dueAtMs: dueMs > 0 ? arrivedAtMs + dueMs : undefined,
      },
      start: (target) => void this.#start(task, { target, workload }),
      expired: () => {},
    };
  }

  async #start(
    task: RunnableTask,
    { target, workload }: {
      readonly target: Target;
      readonly workload: Workload;
    },
  ): Promise<void> {
    const offer = await this.#roomAt(task, { target, workload });
    if (offer === undefined) return this.#waitAgain(task);
    const { work, task: index } = task;
    const { worker, fence } = offer;
    const attempt = await this.#deferred
      ?.mayStart({ work, task: index, worker, fence });
    if (attempt === undefined) return;
    if (attempt.isOk()) {
      return await this.startAt(task, { attempt: attempt.value, offer });
    }
    this.cancelAt(offer.owner, offer.offer);
    const { type } = attempt.error;
    if (type !== "notWaiting" && type !== "notHeld") this.#waitAgain(task);
  }

  async #roomAt(
    task: RunnableTask,
    { target, workload }: {
      readonly target: Target;
      readonly workload: Workload;
    },
  ): Promise<TaskOffer | undefined> {
    if (target.type === "peer" && target.offer !== undefined) {
      return { ...target.offer, owner: target.peer };
    }
    const owner = target.type === "self" ? this.#options.self : target.peer;
    const offers = await this.reserveAt(owner, {
      reservation: randomUUID(),
      team: task.team,
      workload,
      count: 1,
    });
    const { neighbours } = this.#options.matching;
    if (offers.length === 0 && target.type === "peer") {
      neighbours.exhausted(target.peer);
    }
    return offers[0];
  }

  #reserveHere(
    reservation: string,
    wanted: {
      readonly team: string;
      readonly workload: string;
      readonly need: Workload["resources"];
      readonly count: number;
      readonly avoid: readonly string[];
    },
  ): Omit<TaskOffer, "owner">[] {
    const { placement } = this.#options;
    const { team, need } = wanted;
    const offers: Omit<TaskOffer, "owner">[] = [];
    while (offers.length < wanted.count) {
      const reserved = placement.reserve(wanted, wanted.avoid);
      if (reserved.type === "none") break;
      const offer = offers.length === 0 ? reservation : randomUUID();
      const { place } = reserved;
      const room = { offer, ...place, team, need, reservation };
      if (!placement.offers.hold(room, RESERVE_LAPSE_MS)) {
        placement.giveBack(room);
        return [];
      }
      offers.push({ offer, ...place });
    }
    return offers;
  }

  async #order(owner: string, order: StartOrder): Promise<StartResult> {
    const { keeper, peers, self } = this.#options;
    if (owner === self) return await keeper.start(order);
    const answer = await peers.call(owner, startCall, {
      params: order,
      timeoutMs: PEER_WAIT_MS,
    });
    return answer.match(
      (result) => result,
      ({ type }): StartResult =>
        type === "peerUnreached"
          ? { type: "notStarted", reason: { type: "peerLost", peer: owner } }
          : { type: "lost" },
    );
  }

  /** Finds out about an attempt whose start was not answered. */
  async #settle(attempt: StartedAttempt): Promise<void> {
    const { clock } = this.#options;
    const finding = await this.find(attempt);
    if (finding.isErr()) {
      clock.after(FIND_INTERVAL_MS, () => void this.#settle(attempt));
      return;
    }
    switch (finding.value.type) {
      case "running":
        return;
      case "ended":
        return await this.ended(attempt, finding.value.outcome);
      case "neverStarted":
        return await this.ended(attempt, { type: "notStarted" });
      case "unknown":
        return await this.ended(attempt, { type: "lost" });
      default:
        return unreachable(finding.value);
    }
  }
}

const pending: FindFailure = {
  type: "findPending",
  message: "the worker's owner cannot say yet",
};

/** Members in the fixed order in which rooms are reserved. */
export function reservationOrder(members: readonly Instance[]): string[] {
  return members.map(({ id }) => id).sort();
}
