/**
 * Starts the tasks of a gang all together or not at all, across the owners of
 * workers. Capacity is reserved at one instance after the other in a fixed
 * order. If it does not suffice for all tasks, all reservations are cancelled
 * at once and the gang retries after a backoff.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Workload } from "../operator_set.ts";
import type { RunnableTask } from "../ports/runner.ts";
import type { DeferredWork } from "./deferred_work.ts";
import type { TaskOffer } from "./reservations.ts";
import type { TaskDispatcher } from "./task_dispatcher.ts";

/** First backoff of a gang for which capacity did not suffice. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/** Options of the controller. */
export interface GangSchedulerOptions {
  readonly tasks: TaskDispatcher;
  readonly deferred: Pick<DeferredWork, "mayStartTogether">;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  /** Ids of the instances in the fixed order in which capacity is reserved. */
  readonly owners: () => readonly string[];
}

interface Gang {
  readonly work: string;
  readonly tasks: readonly RunnableTask[];
  backoffMs: number;
}

interface GangReservation {
  readonly id: string;
  readonly offers: TaskOffer[];
  readonly contactedOwners: string[];
}

/** Schedules the gangs whose journal segments this instance owns. */
export class GangScheduler {
  readonly #options: GangSchedulerOptions;
  readonly #waiting = new Map<string, Gang>();

  constructor(options: GangSchedulerOptions) {
    this.#options = options;
  }

  /** Number of gangs that wait to be started. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a gang by all its tasks and tries to start it. */
  enqueue(tasks: readonly RunnableTask[]): void {
    const work = tasks[0]?.work;
    if (work === undefined) return;
    const gang = { work, tasks, backoffMs: INITIAL_BACKOFF_MS };
    this.#waiting.set(work, gang);
    void this.#attempt(gang);
  }

  /** Removes a gang that was not started. */
  withdraw(work: string): void {
    this.#waiting.delete(work);
  }

  async #attempt(gang: Gang): Promise<void> {
    if (this.#waiting.get(gang.work) !== gang) return;
    const workload = this.#options.workloadOf(gang.tasks[0]!.workload);
    const reservation = workload && await this.#reserve(gang, workload);
    if (reservation === undefined) return this.#retryLater(gang);
    if (this.#waiting.get(gang.work) !== gang) {
      return this.#cancelReservation(reservation);
    }
    await this.#start(gang, reservation);
  }

  async #reserve(
    gang: Gang,
    workload: Workload,
  ): Promise<GangReservation | undefined> {
    const { tasks, owners } = this.#options;
    const id = randomUUID();
    const reservation: GangReservation = {
      id,
      offers: [],
      contactedOwners: [],
    };
    const { team } = gang.tasks[0]!;
    for (const owner of owners()) {
      const count = gang.tasks.length - reservation.offers.length;
      if (count === 0) break;
      reservation.contactedOwners.push(owner);
      const wanted = { reservation: id, team, workload, count };
      reservation.offers.push(
        ...await tasks.reservations.reserveAt(owner, wanted),
      );
    }
    if (reservation.offers.length === gang.tasks.length) return reservation;
    this.#cancelReservation(reservation);
    return undefined;
  }

  #cancelReservation({ id, contactedOwners }: GangReservation): void {
    for (const owner of contactedOwners) {
      this.#options.tasks.reservations.cancelAt(owner, id);
    }
  }

  #retryLater(gang: Gang): void {
    const { clock, random } = this.#options;
    const delayMs = gang.backoffMs * (0.5 + random());
    gang.backoffMs = Math.min(MAX_BACKOFF_MS, gang.backoffMs * 2);
    clock.after(delayMs, () => void this.#attempt(gang));
  }

  async #start(gang: Gang, reservation: GangReservation): Promise<void> {
    const { deferred, log, tasks } = this.#options;
    const placements = gang.tasks.map((task, index) => {
      const { worker, fence } = reservation.offers[index]!;
      return { work: task.work, task: task.task, worker, fence };
    });
    const attempts = await deferred.mayStartTogether(placements);
    if (attempts.isErr()) {
      this.#cancelReservation(reservation);
      log.warn("gang.not_started", {
        work: gang.work,
        reason: attempts.error.type,
      });
      if (attempts.error.type === "notWaiting") return this.withdraw(gang.work);
      return this.#retryLater(gang);
    }
    this.#waiting.delete(gang.work);
    await Promise.all(gang.tasks.map((task, index) => {
      const attempt = attempts.value[index]!;
      return tasks.startAttempt(task, {
        attempt,
        offer: reservation.offers[index]!,
      });
    }));
  }
}
