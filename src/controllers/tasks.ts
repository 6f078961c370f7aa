/**
 * The holder's side of tasks: each waits for room, is written ahead in the
 * journal, and is started by the owner of its worker.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import type { Log } from "../logger.ts";
import type { Queue, Workload } from "../operator_set.ts";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import type {
  AttemptState,
  FindFailure,
  RunnableTask,
  StartedAttempt,
  TaskRunner,
} from "../ports/runner.ts";
import type { Instance } from "../types.ts";
import {
  startCall,
  type StartRequest,
  type StartResponse,
  stopAttemptsNotice,
} from "../wire/dispatch.ts";
import { AttemptFinder } from "./attempt_finder.ts";
import type { Deferred } from "./deferred.ts";
import type { Fleet } from "./fleet.ts";
import type { Gangs } from "./gangs.ts";
import type { Matching, Startable, Target } from "./matching.ts";
import { WORKER_UNIT } from "./owned_workers.ts";
import type { Placement } from "./placement.ts";
import { Reservations, type TaskOffer } from "./reservations.ts";
import type { TaskKeeper } from "./task_keeper.ts";

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

/** The journal of attempts. */
export type Attempts = Pick<Deferred, "mayStart" | "ended">;

/** Runs the tasks of the segments that this instance holds. */
export class Tasks implements TaskRunner {
  readonly reservations: Reservations;
  readonly #options: TasksOptions;
  readonly #finder: AttemptFinder;
  /** Tasks to be started, by work and by id. */
  readonly #pending = new Map<string, Map<string, RunnableTask>>();
  #deferred: Attempts | undefined;
  #gangs: Gangs | undefined;

  constructor(options: TasksOptions) {
    this.#options = options;
    this.reservations = new Reservations(options);
    this.#finder = new AttemptFinder(options);
  }

  /** Joins the journal's controller and the gangs, which need this one. */
  connect(deferred: Attempts, gangs: Gangs): void {
    this.#deferred = deferred;
    this.#gangs = gangs;
  }

  /** Number of single tasks that wait to be started. */
  get pending(): number {
    return [...this.#pending.values()]
      .reduce((sum, tasks) => sum + tasks.size, 0);
  }

  enqueue(tasks: readonly RunnableTask[]): void {
    for (const together of byWork(tasks)) {
      if (together[0]?.gangSize !== undefined) this.#gangs?.enqueue(together);
      else for (const task of together) this.#add(task);
    }
  }

  withdraw(works: readonly string[]): void {
    for (const work of works) {
      this.#gangs?.withdraw(work);
      for (const id of this.#pending.get(work)?.keys() ?? []) {
        this.#options.matching.withdraw(id);
      }
      this.#pending.delete(work);
    }
  }

  cancel(attempts: readonly StartedAttempt[]): void {
    const { authority, keeper, peers, self } = this.#options;
    for (const { worker, attempt } of attempts) {
      const owner = authority.ownerOf(WORKER_UNIT + worker)?.id;
      if (owner === self) keeper.stop([attempt]);
      else if (owner !== undefined) {
        peers.notify(owner, stopAttemptsNotice, {
          attempts: [attempt],
          worker,
        });
      }
    }
  }

  find(attempt: StartedAttempt): ResultAsync<AttemptState, FindFailure> {
    return this.#finder.find(attempt);
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
        return assertNever(result);
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

  #add(task: RunnableTask): void {
    const tasks = this.#pending.get(task.work) ?? new Map();
    this.#pending.set(task.work, tasks.set(idOf(task), task));
    this.#wait(task);
  }

  #remove(task: RunnableTask): void {
    const tasks = this.#pending.get(task.work);
    if (tasks?.get(idOf(task)) !== task) return;
    tasks.delete(idOf(task));
    if (tasks.size === 0) this.#pending.delete(task.work);
  }

  #wait(task: RunnableTask): void {
    if (this.#pending.get(task.work)?.get(idOf(task)) !== task) return;
    const { log, matching } = this.#options;
    const startable = this.#startable(task);
    if (startable === undefined) {
      log.warn("task.unknown_workload", { work: task.work });
      this.#waitAgain(task);
      return;
    }
    if (matching.submit(startable).isErr()) this.#waitAgain(task);
  }

  #waitAgain(task: RunnableTask): void {
    this.#options.clock.after(REQUEUE_PAUSE_MS, () => this.#wait(task));
  }

  #startable(task: RunnableTask): Startable | undefined {
    const { clock, placement, queueOf, workloadOf } = this.#options;
    const workload = workloadOf(task.workload);
    const queue = workload && queueOf(workload.queue);
    if (workload === undefined || queue === undefined) return undefined;
    const ageMs = clock.now().getTime() - task.submittedAt;
    const arrivedAtMs = clock.monotonic() - ageMs;
    const dueMs = workload.kind === "service" ? 0 : workload.dueMs;
    return {
      waiting: {
        id: idOf(task),
        team: task.team,
        queue: queue.name,
        workload: workload.name,
        urgency: queue.urgency,
        need: placement.sizeOf({
          team: task.team,
          workload: workload.name,
          need: workload.resources,
        }),
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
      this.#remove(task);
      return await this.startAt(task, { attempt: attempt.value, offer });
    }
    this.reservations.cancelAt(offer.owner, offer.offer);
    const { type } = attempt.error;
    if (type === "notWaiting" || type === "notHeld") this.#remove(task);
    else this.#waitAgain(task);
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
    const offers = await this.reservations.reserveAt(owner, {
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

  async #order(owner: string, order: StartRequest): Promise<StartResponse> {
    const { keeper, peers, self } = this.#options;
    if (owner === self) return await keeper.start(order);
    const answer = await peers.call(owner, startCall, {
      params: order,
      timeoutMs: PEER_WAIT_MS,
    });
    return answer.match(
      (result) => result,
      ({ type }): StartResponse =>
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
        return assertNever(finding.value);
    }
  }
}

function byWork(tasks: readonly RunnableTask[]): RunnableTask[][] {
  const works = new Map<string, RunnableTask[]>();
  for (const task of tasks) {
    const together = works.get(task.work) ?? [];
    works.set(task.work, together);
    together.push(task);
  }
  return [...works.values()];
}

function idOf(task: RunnableTask): string {
  return `${task.work}/${task.task}/${task.attempts}`;
}

/** Members in the fixed order in which rooms are reserved. */
export function reservationOrder(members: readonly Instance[]): string[] {
  return members.map(({ id }) => id).sort();
}
