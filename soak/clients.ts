/**
 * Clients of a soak run. They submit jobs throughout the run, retry failed
 * submissions, cancel some jobs and query the state of every job at the end.
 *
 * @module
 */
import type { PlatformSite, SiteDaemon } from "../platform/standins/site.ts";
import { waitFor } from "../platform/standins/site.ts";
import { submissionBody } from "../platform/standins/site_client.ts";
import { QUEUES } from "../platform/standins/site_settings.ts";
import type { ClientJob, StepShape, WaitingAnswer } from "./checks.ts";

/** Largest gang. */
const MAX_GANG_TASKS = 8;
/** Maximum number of tasks of a gang on one worker, so that a large one needs several. */
const GANG_TASKS_PER_WORKER = 4;
/** Maximum number of tries per submission. */
const MAX_TRIES = 5;
/** Interval at which every daemon is asked for the number of waiting jobs. */
const COUNT_INTERVAL_MS = 50;
/** Delay before a retry of a submission. */
const RETRY_DELAY_MS = 400;
/** Maximum time for all jobs to end after the last fault: two leases plus the jobs' run time. */
const JOBS_TIMEOUT_MS = 40_000;
/** Every job whose number is a multiple of this is canceled. */
const CANCEL_INTERVAL_JOBS = 12;
/** The client of every job whose number is a multiple of this leaves early and cancels the job at another daemon. */
const LEAVE_INTERVAL_JOBS = 7;
/** Shortest and longest time after which such a client leaves, milliseconds. */
const PATIENCE_MS = { min: 20, max: 400 } as const;

/** Returns a random integer between both bounds, inclusive. */
export type RandomInteger = (from: number, to: number) => number;

/** Clients of one soak run. */
export class Clients {
  readonly jobs: ClientJob[] = [];
  /** When cancelations were acknowledged, Unix milliseconds, by job. */
  readonly canceledMs = new Map<string, number>();
  /** Numbers of waiting jobs that the daemons gave. */
  readonly waitingAnswers: WaitingAnswer[] = [];
  readonly #site: PlatformSite;
  readonly #random: RandomInteger;

  constructor(site: PlatformSite, random: RandomInteger) {
    this.#site = site;
    this.#random = random;
  }

  /** Submits jobs to the first queue while `isOpen` and waits until every client is done. */
  submitWhile(isOpen: () => boolean, intervalMs: number): Promise<void> {
    return submitRepeatedly(
      (number) => this.#submitPlainJob(number),
      { isOpen, intervalMs },
    );
  }

  /** Submits jobs to the other queues, with advice and limits of teams, while `isOpen`. */
  submitToOthersWhile(
    isOpen: () => boolean,
    intervalMs: number,
  ): Promise<void> {
    return submitRepeatedly(
      (number) => this.#submitToOther(number),
      { isOpen, intervalMs },
    );
  }

  /** Asks every daemon for the number of waiting jobs until `endMs`, Unix milliseconds. */
  async countUntil(endMs: number): Promise<void> {
    await Promise.all(this.#site.daemons.map(async (daemon) => {
      while (Date.now() < endMs) {
        const sentMs = Date.now();
        const { status, body } = await this.#site.call(daemon, "GET", "");
        if (status === 200) {
          this.waitingAnswers.push({
            daemon: daemon.name,
            waiting: body.waiting ?? 0,
            sentMs,
            receivedMs: Date.now(),
          });
        }
        await pause(COUNT_INTERVAL_MS);
      }
    }));
  }

  #submitPlainJob(number: number): Promise<void> {
    const tasks = this.#random(1, 3);
    const gang = this.#random(1, 4) === 1;
    return this.#submitJob(number, { queue: 0, steps: 2, tasks, gang });
  }

  #submitToOther(number: number): Promise<void> {
    const queue = this.#random(1, QUEUES.length - 1);
    const gang = QUEUES[queue]!.name === "billing";
    const steps = this.#random(1, 2);
    return this.#submitJob(number, {
      queue,
      steps,
      tasks: gang ? this.#random(2, MAX_GANG_TASKS) : this.#random(1, 3),
      gang,
      ...(gang ? { maxPerWorker: GANG_TASKS_PER_WORKER } : {}),
    });
  }

  async #submitJob(
    number: number,
    { queue, steps, ...shape }: StepShape & {
      /** Index of the queue. */
      readonly queue: number;
      readonly steps: number;
    },
  ): Promise<void> {
    const id = `${queue}${number.toString(16).padStart(15, "0")}`;
    const body = submissionBody({ payload: id, steps, ...shape });
    const job: ClientJob = {
      id,
      steps: Array.from({ length: steps }, (_, index) => ({
        ...shape,
        gang: shape.gang && index === 0,
      })),
      statuses: [],
      canceled: false,
      state: "",
    };
    this.jobs.push(job);
    if (number % LEAVE_INTERVAL_JOBS === 0) {
      return await this.#submitAndLeave(job, body);
    }
    while (job.statuses.length < MAX_TRIES && !job.statuses.includes(200)) {
      const { status } = await this.#site.call(
        this.#chooseDaemon(),
        "POST",
        id,
        body,
      );
      job.statuses.push(status);
      if (status === 200) job.acceptedMs = Date.now();
      if (status !== 200) await pause(RETRY_DELAY_MS);
    }
    if (number % CANCEL_INTERVAL_JOBS === 0 && job.statuses.includes(200)) {
      await this.#cancel(job);
    }
  }

  /** Submits a job, leaves before the response and cancels the job until that is acknowledged. */
  async #submitAndLeave(job: ClientJob, body: unknown): Promise<void> {
    const { daemons } = this.#site;
    const index = this.#random(0, daemons.length - 1);
    const timeoutMs = this.#random(PATIENCE_MS.min, PATIENCE_MS.max);
    const { status } = await this.#site.call(
      daemons[index]!,
      "POST",
      job.id,
      body,
      { timeoutMs },
    );
    job.statuses.push(status);
    const other = daemons[(index + 1) % daemons.length]!;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (await this.#cancel(job, other)) return;
      await pause(RETRY_DELAY_MS);
    }
  }

  /** Returns whether the cancelation was acknowledged. */
  async #cancel(
    job: ClientJob,
    daemon = this.#chooseDaemon(),
  ): Promise<boolean> {
    job.canceled = true;
    const { status } = await this.#site.call(daemon, "DELETE", job.id);
    const isAcknowledged = status === 200 || status === 410;
    if (isAcknowledged) this.canceledMs.set(job.id, Date.now());
    return isAcknowledged;
  }

  /** Records the final state of every accepted job; waits for it up to the timeout. Called after the last fault. */
  async waitForJobs(): Promise<void> {
    const accepted = this.jobs.filter((job) => job.statuses.includes(200));
    const deadline = Date.now() + JOBS_TIMEOUT_MS;
    for (const job of accepted) {
      await waitFor(async () => {
        const { body } = await this.#site.call(
          this.#chooseDaemon(),
          "GET",
          job.id,
        );
        job.state = body.state ?? job.state;
        return ["done", "failed", "canceled"].includes(job.state)
          ? true
          : undefined;
      }, deadline - Date.now());
    }
  }

  #chooseDaemon(): SiteDaemon {
    const { daemons } = this.#site;
    return daemons[this.#random(0, daemons.length - 1)]!;
  }
}

async function submitRepeatedly(
  submit: (number: number) => Promise<void>,
  { isOpen, intervalMs }: {
    readonly isOpen: () => boolean;
    readonly intervalMs: number;
  },
): Promise<void> {
  const pending: Promise<void>[] = [];
  while (isOpen()) {
    pending.push(submit(pending.length + 1));
    await pause(intervalMs);
  }
  await Promise.all(pending);
}

/** Waits in real time. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
