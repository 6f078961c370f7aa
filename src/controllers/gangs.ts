/**
 * Starts the tasks of a gang all at once or not at all, across owners: rooms
 * are reserved at one instance after the other in a fixed order; unless all
 * are found they are given up at once, and the gang tries again later.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Workload } from "../operator_set.ts";
import type { RunnableTask } from "../ports/runner.ts";
import type { Deferred } from "./deferred.ts";
import type { TaskOffer } from "./reservations.ts";
import type { Tasks } from "./tasks.ts";

/** First pause of a gang that did not find room, milliseconds. */
const FIRST_PAUSE_MS = 100;
/** Longest pause, milliseconds. */
const LONGEST_PAUSE_MS = 2_000;

/** What the controller needs. */
export interface GangsOptions {
  readonly tasks: Tasks;
  readonly deferred: Pick<Deferred, "mayStartTogether">;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  /** Instances in the fixed order in which rooms are reserved. */
  readonly owners: () => readonly string[];
}

interface Gang {
  readonly work: string;
  readonly tasks: readonly RunnableTask[];
  pauseMs: number;
}

interface Reservation {
  readonly id: string;
  readonly offers: TaskOffer[];
  readonly asked: string[];
}

/** The gangs that wait at this instance. */
export class Gangs {
  readonly #options: GangsOptions;
  readonly #waiting = new Map<string, Gang>();

  constructor(options: GangsOptions) {
    this.#options = options;
  }

  /** Number of gangs that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Takes the tasks of one gang. */
  enqueue(tasks: readonly RunnableTask[]): void {
    const work = tasks[0]?.work;
    if (work === undefined) return;
    const gang = { work, tasks, pauseMs: FIRST_PAUSE_MS };
    this.#waiting.set(work, gang);
    void this.#attempt(gang);
  }

  /** Forgets a gang that was not started. */
  withdraw(work: string): void {
    this.#waiting.delete(work);
  }

  async #attempt(gang: Gang): Promise<void> {
    if (this.#waiting.get(gang.work) !== gang) return;
    const workload = this.#options.workloadOf(gang.tasks[0]!.workload);
    const reservation = workload && await this.#reserve(gang, workload);
    if (reservation === undefined) return this.#later(gang);
    if (this.#waiting.get(gang.work) !== gang) {
      return this.#giveUp(reservation);
    }
    await this.#start(gang, reservation);
  }

  async #reserve(
    gang: Gang,
    workload: Workload,
  ): Promise<Reservation | undefined> {
    const { tasks, owners } = this.#options;
    const id = randomUUID();
    const reservation: Reservation = { id, offers: [], asked: [] };
    const { team } = gang.tasks[0]!;
    for (const owner of owners()) {
      const count = gang.tasks.length - reservation.offers.length;
      if (count === 0) break;
      reservation.asked.push(owner);
      const wanted = { reservation: id, team, workload, count };
      reservation.offers.push(
        ...await tasks.reservations.reserveAt(owner, wanted),
      );
    }
    if (reservation.offers.length === gang.tasks.length) return reservation;
    this.#giveUp(reservation);
    return undefined;
  }

  #giveUp({ id, asked }: Reservation): void {
    for (const owner of asked) {
      this.#options.tasks.reservations.cancelAt(owner, id);
    }
  }

  #later(gang: Gang): void {
    const { clock, random } = this.#options;
    const pauseMs = gang.pauseMs * (0.5 + random());
    gang.pauseMs = Math.min(LONGEST_PAUSE_MS, gang.pauseMs * 2);
    clock.after(pauseMs, () => void this.#attempt(gang));
  }

  async #start(gang: Gang, reservation: Reservation): Promise<void> {
    const { deferred, log, tasks } = this.#options;
    const placements = gang.tasks.map((task, index) => {
      const { worker, fence } = reservation.offers[index]!;
      return { work: task.work, task: task.task, worker, fence };
    });
    const attempts = await deferred.mayStartTogether(placements);
    if (attempts.isErr()) {
      this.#giveUp(reservation);
      log.warn("gang.not_started", {
        work: gang.work,
        reason: attempts.error.type,
      });
      if (attempts.error.type === "notWaiting") return this.withdraw(gang.work);
      return this.#later(gang);
    }
    this.#waiting.delete(gang.work);
    await Promise.all(gang.tasks.map((task, index) => {
      const attempt = attempts.value[index]!;
      return tasks.startAt(task, {
        attempt,
        offer: reservation.offers[index]!,
      });
    }));
  }
}
