/**
 * Clients of a soak run: they submit all the while, try again, cancel some, and
 * ask for every job in the end.
 *
 * @module
 */
import type { PlatformSite, SiteDaemon } from "../platform/standins/site.ts";
import { waitFor } from "../platform/standins/site.ts";
import { submissionBody } from "../platform/standins/site_client.ts";
import type { ClientJob } from "./checks.ts";

/** Pause between two submissions, milliseconds. */
const SUBMIT_EVERY_MS = 60;
/** Tries of one submission. */
const TRIES = 5;
/** Pause before a try is repeated, milliseconds. */
const TRY_AGAIN_MS = 400;
/** Longest wait for all jobs once everything is healed, milliseconds: two leases, and their work. */
const SETTLE_MS = 40_000;
/** One job in so many is canceled. */
const CANCEL_ONE_IN = 12;

/** Gives an integer from one bound to the other. */
export type Random = (from: number, to: number) => number;

/** The clients of one run. */
export class Clients {
  readonly jobs: ClientJob[] = [];
  /** When cancelations were acknowledged, by job, Unix milliseconds. */
  readonly canceledMs = new Map<string, number>();
  readonly #site: PlatformSite;
  readonly #random: Random;

  constructor(site: PlatformSite, random: Random) {
    this.#site = site;
    this.#random = random;
  }

  /** Submits until a time, Unix milliseconds, and waits for the last answers. */
  async submitUntil(endMs: number): Promise<void> {
    const open: Promise<void>[] = [];
    while (Date.now() < endMs) {
      open.push(this.#client(this.jobs.length + 1));
      await pause(SUBMIT_EVERY_MS);
    }
    await Promise.all(open);
  }

  async #client(number: number): Promise<void> {
    const id = number.toString(16).padStart(16, "0");
    const width = this.#random(1, 3);
    const gang = this.#random(1, 4) === 1;
    const body = submissionBody({ payload: id, steps: 2, tasks: width, gang });
    const job: ClientJob = {
      id,
      tasks: 2 * width,
      tries: [],
      canceled: false,
      state: "",
    };
    this.jobs.push(job);
    while (job.tries.length < TRIES && !job.tries.includes(200)) {
      const { status } = await this.#site.call(
        this.#anyDaemon(),
        "POST",
        id,
        body,
      );
      job.tries.push(status);
      if (status !== 200) await pause(TRY_AGAIN_MS);
    }
    if (number % CANCEL_ONE_IN === 0 && job.tries.includes(200)) {
      await this.#cancel(job);
    }
  }

  async #cancel(job: ClientJob): Promise<void> {
    job.canceled = true;
    const { status } = await this.#site.call(
      this.#anyDaemon(),
      "DELETE",
      job.id,
    );
    if (status === 200) this.canceledMs.set(job.id, Date.now());
  }

  /** Waits until every accepted job has ended, with nothing harmed any more. */
  async settle(): Promise<void> {
    const open = this.jobs.filter((job) => job.tries.includes(200));
    const end = Date.now() + SETTLE_MS;
    for (const job of open) {
      await waitFor(async () => {
        const { body } = await this.#site.call(
          this.#anyDaemon(),
          "GET",
          job.id,
        );
        job.state = body.state ?? job.state;
        return ["done", "failed", "canceled"].includes(job.state)
          ? true
          : undefined;
      }, end - Date.now());
    }
  }

  #anyDaemon(): SiteDaemon {
    const { daemons } = this.#site;
    return daemons[this.#random(0, daemons.length - 1)]!;
  }
}

/** Waits, milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
