/**
 * Dispatches tasks from their origin, the owner of their journal segment: a task
 * waits for free capacity, its attempt is journalled, and the owner of the
 * chosen worker starts it.
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
import type { DeferredWork } from "./deferred_work.ts";
import type { Fleet } from "./fleet.ts";
import type { GangScheduler } from "./gang_scheduler.ts";
import type { Matching, Startable, Target } from "./matching.ts";
import { WORKER_UNIT_PREFIX } from "./owned_workers.ts";
import type { Placement } from "./placement.ts";
import { Reservations, type TaskOffer } from "./reservations.ts";
import type { TaskSupervisor } from "./task_supervisor.ts";

/** Timeout for a call to another instance. */
const PEER_TIMEOUT_MS = 3_000;
/** Delay before the state of an attempt with an unanswered start request is queried again. */
const FIND_RETRY_DELAY_MS = 1_000;
/** Delay before a task that could not be started is queued again. */
const REQUEUE_DELAY_MS = 100;

/** Options of the controller. */
export interface TaskDispatcherOptions {
  readonly self: string;
  readonly authority: Authority;
  readonly matching: Matching;
  readonly placement: Placement;
  readonly taskSupervisor: TaskSupervisor;
  readonly fleet: Fleet;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly queueOf: (name: string) => Queue | undefined;
}

/** The part of the deferred work controller that journals attempts and their outcomes. */
export type AttemptJournal = Pick<DeferredWork, "mayStart" | "ended">;

/** Runs the tasks of the segments that this instance owns. */
export class TaskDispatcher implements TaskRunner {
  readonly reservations: Reservations;
  readonly #options: TaskDispatcherOptions;
  readonly #finder: AttemptFinder;
  /** Tasks waiting to be started, by id of their work item and by queue id. */
  readonly #pendingByWork = new Map<string, Map<string, RunnableTask>>();
  #deferred: AttemptJournal | undefined;
  #gangs: GangScheduler | undefined;

  constructor(options: TaskDispatcherOptions) {
    this.#options = options;
    this.reservations = new Reservations(options);
    this.#finder = new AttemptFinder(options);
  }

  /** Sets the journal and the gang controller, which depend on this controller themselves. */
  connect(deferred: AttemptJournal, gangs: GangScheduler): void {
    this.#deferred = deferred;
    this.#gangs = gangs;
  }

  /** Number of tasks outside gangs that wait to be started. */
  get pendingCount(): number {
    return [...this.#pendingByWork.values()]
      .reduce((sum, tasks) => sum + tasks.size, 0);
  }

  enqueue(tasks: readonly RunnableTask[]): void {
    for (const group of groupByWork(tasks)) {
      if (group[0]?.gangSize !== undefined) this.#gangs?.enqueue(group);
      else for (const task of group) this.#add(task);
    }
  }

  withdraw(works: readonly string[]): void {
    for (const work of works) {
      this.#gangs?.withdraw(work);
      for (const id of this.#pendingByWork.get(work)?.keys() ?? []) {
        this.#options.matching.withdraw(id);
      }
      this.#pendingByWork.delete(work);
    }
  }

  cancel(attempts: readonly StartedAttempt[]): void {
    const { authority, taskSupervisor, peers, self } = this.#options;
    for (const { worker, attempt } of attempts) {
      const owner = authority.ownerOf(WORKER_UNIT_PREFIX + worker)?.id;
      if (owner === self) taskSupervisor.stop([attempt]);
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

  /**
   * Sends the start request for a journalled attempt. If the attempt was not
   * started, journals that; if the response was lost, determines its state.
   */
  async startAttempt(
    task: RunnableTask,
    { attempt, offer }: {
      readonly attempt: string;
      readonly offer: TaskOffer;
    },
  ): Promise<void> {
    const started: StartedAttempt = { ...task, ...offer, attempt };
    const result = await this.#sendStart(offer.owner, {
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
        return await this.journalOutcome(started, { type: "notStarted" });
      case "lost":
        return await this.#resolveAttempt(started);
      default:
        return assertNever(result);
    }
  }

  /**
   * Journals the outcome of an attempt. The journal retries while the store is
   * unavailable; other failures are only logged here.
   */
  async journalOutcome(
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
    const tasks = this.#pendingByWork.get(task.work) ?? new Map();
    this.#pendingByWork.set(task.work, tasks.set(queueIdOf(task), task));
    this.#queueTask(task);
  }

  #remove(task: RunnableTask): void {
    const tasks = this.#pendingByWork.get(task.work);
    if (tasks?.get(queueIdOf(task)) !== task) return;
    tasks.delete(queueIdOf(task));
    if (tasks.size === 0) this.#pendingByWork.delete(task.work);
  }

  #queueTask(task: RunnableTask): void {
    if (this.#pendingByWork.get(task.work)?.get(queueIdOf(task)) !== task) {
      return;
    }
    const { log, matching } = this.#options;
    const startable = this.#createStartable(task);
    if (startable === undefined) {
      log.warn("task.unknown_workload", { work: task.work });
      this.#requeueLater(task);
      return;
    }
    if (matching.submit(startable).isErr()) this.#requeueLater(task);
  }

  #requeueLater(task: RunnableTask): void {
    this.#options.clock.after(REQUEUE_DELAY_MS, () => this.#queueTask(task));
  }

  #createStartable(task: RunnableTask): Startable | undefined {
    const { clock, placement, queueOf, workloadOf } = this.#options;
    const workload = workloadOf(task.workload);
    const queue = workload && queueOf(workload.queue);
    if (workload === undefined || queue === undefined) return undefined;
    const ageMs = clock.now().getTime() - task.submittedAt;
    const arrivedAtMs = clock.monotonic() - ageMs;
    const dueMs = workload.kind === "service" ? 0 : workload.dueMs;
    return {
      waiting: {
        id: queueIdOf(task),
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
      onExpired: () => {},
    };
  }

  async #start(
    task: RunnableTask,
    { target, workload }: {
      readonly target: Target;
      readonly workload: Workload;
    },
  ): Promise<void> {
    const offer = await this.#reserveCapacity(task, { target, workload });
    if (offer === undefined) return this.#requeueLater(task);
    const { work, task: index } = task;
    const { worker, fence } = offer;
    const attempt = await this.#deferred
      ?.mayStart({ work, task: index, worker, fence });
    if (attempt === undefined) return;
    if (attempt.isOk()) {
      this.#remove(task);
      return await this.startAttempt(task, { attempt: attempt.value, offer });
    }
    this.reservations.cancelAt(offer.owner, offer.offer);
    const { type } = attempt.error;
    if (type === "notWaiting" || type === "notHeld") this.#remove(task);
    else this.#requeueLater(task);
  }

  async #reserveCapacity(
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
    const { peerLoads } = this.#options.matching;
    if (offers.length === 0 && target.type === "peer") {
      peerLoads.markExhausted(target.peer);
    }
    return offers[0];
  }

  async #sendStart(
    owner: string,
    request: StartRequest,
  ): Promise<StartResponse> {
    const { taskSupervisor, peers, self } = this.#options;
    if (owner === self) return await taskSupervisor.start(request);
    const answer = await peers.call(owner, startCall, {
      params: request,
      timeoutMs: PEER_TIMEOUT_MS,
    });
    return answer.match(
      (result) => result,
      ({ type }): StartResponse =>
        type === "peerUnreached"
          ? { type: "notStarted", reason: { type: "peerLost", peer: owner } }
          : { type: "lost" },
    );
  }

  /** Queries an attempt whose start response was lost until its state is known, and journals its outcome. */
  async #resolveAttempt(attempt: StartedAttempt): Promise<void> {
    const { clock } = this.#options;
    const state = await this.find(attempt);
    if (state.isErr()) {
      clock.after(
        FIND_RETRY_DELAY_MS,
        () => void this.#resolveAttempt(attempt),
      );
      return;
    }
    switch (state.value.type) {
      case "running":
        return;
      case "ended":
        return await this.journalOutcome(attempt, state.value.outcome);
      case "neverStarted":
        return await this.journalOutcome(attempt, { type: "notStarted" });
      case "unknown":
        return await this.journalOutcome(attempt, { type: "lost" });
      default:
        return assertNever(state.value);
    }
  }
}

function groupByWork(tasks: readonly RunnableTask[]): RunnableTask[][] {
  const works = new Map<string, RunnableTask[]>();
  for (const task of tasks) {
    const group = works.get(task.work) ?? [];
    works.set(task.work, group);
    group.push(task);
  }
  return [...works.values()];
}

function queueIdOf(task: RunnableTask): string {
  return `${task.work}/${task.task}/${task.attempts}`;
}

/**
 * Ids of the members in the fixed order in which gangs reserve capacity. The
 * same order on all instances keeps competing gangs from blocking each other.
 */
export function reservationOrder(members: readonly Instance[]): string[] {
  return members.map(({ id }) => id).sort();
}
