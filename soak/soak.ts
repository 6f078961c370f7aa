/**
 * One seeded run: daemons as processes, faults from outside them, clients that
 * go on all the while.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  PlatformSite,
  type SiteDaemon,
  submissionBody,
  until,
} from "../platform/standins/site.ts";
import { check, type ClientJob, type Finding } from "./checks.ts";
import { Proxy, type ProxyMood } from "./proxy.ts";

/** Size and length of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Time under faults, milliseconds. */
  readonly lengthMs: number;
  readonly daemons: number;
  readonly workers: number;
}

/** What a run brought. */
export interface SoakResult {
  readonly findings: readonly Finding[];
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly runs: number;
  /** Logs of all daemons, to be kept with a finding. */
  readonly logs: readonly string[];
}

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
/** Runs that fit on a worker at once: its cores by a task's. */
const ROOM = 8;

type Random = (from: number, to: number) => number;

/** Carries out one run. */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const generator = xoroshiro128plus(options.seed);
  const random: Random = (from, to) => uniformInt(generator, from, to);
  const proxies = new Map<string, Proxy>();
  const site = await PlatformSite.start({
    daemons: options.daemons,
    workers: options.workers,
    route: (kind, name, address) => {
      const proxy = new Proxy(address);
      proxies.set(`${kind}:${name}`, proxy);
      return proxy.listen();
    },
  });
  const run = new SoakRun(site, proxies, { options, random });
  try {
    return await run.play();
  } finally {
    await site.close();
    for (const proxy of proxies.values()) proxy.close();
  }
}

class SoakRun {
  readonly #site: PlatformSite;
  readonly #proxies: ReadonlyMap<string, Proxy>;
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #jobs: ClientJob[] = [];
  readonly #canceledMs = new Map<string, number>();
  readonly #faults: string[] = [];
  readonly #clients: Promise<void>[] = [];
  readonly #replacing = new Set<SiteDaemon>();
  #endMs = 0;

  constructor(
    site: PlatformSite,
    proxies: ReadonlyMap<string, Proxy>,
    { options, random }: {
      readonly options: SoakOptions;
      readonly random: Random;
    },
  ) {
    this.#site = site;
    this.#proxies = proxies;
    this.#options = options;
    this.#random = random;
  }

  async play(): Promise<SoakResult> {
    this.#endMs = Date.now() + this.#options.lengthMs;
    for (const worker of this.#site.workers) {
      worker.workMs = this.#random(100, 900);
    }
    await Promise.all([this.#submitAll(), this.#harm(), this.#harm()]);
    await Promise.all(this.#clients);
    await this.#settle();
    const findings = check(this.#jobs, this.#site.record, {
      room: ROOM,
      canceledMs: this.#canceledMs,
    });
    return {
      findings,
      faults: this.#faults,
      jobs: this.#jobs.length,
      accepted: this.#jobs.filter((job) => job.tries.includes(200)).length,
      runs: this.#site.record.length,
      logs: this.#site.daemons.flatMap((daemon) => daemon.log),
    };
  }

  async #submitAll(): Promise<void> {
    while (Date.now() < this.#endMs) {
      this.#clients.push(this.#client(this.#jobs.length + 1));
      await pause(SUBMIT_EVERY_MS);
    }
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
    this.#jobs.push(job);
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
    if (status === 200) this.#canceledMs.set(job.id, Date.now());
  }

  /** One fault after the other; two of these overlap. */
  async #harm(): Promise<void> {
    while (Date.now() < this.#endMs) {
      await pause(this.#random(100, 1_500));
      await this.#oneFault();
    }
  }

  async #oneFault(): Promise<void> {
    const lastsMs = this.#random(200, 4_000);
    const daemon = this.#anyDaemon();
    switch (this.#random(1, 9)) {
      case 1:
        return await this.#replace(daemon, { signal: "SIGKILL", lastsMs });
      case 2:
        return await this.#replace(daemon, { signal: "SIGTERM", lastsMs });
      case 3:
        return await this.#freeze(daemon, lastsMs);
      case 4:
        return await this.#killAll(lastsMs);
      case 5:
        return await this.#disturb(`store:${daemon.name}`, lastsMs);
      case 6:
        return await this.#disturb(`worker:${this.#anyWorker().id}`, lastsMs);
      case 7:
        return await this.#storeMood(lastsMs);
      case 8:
        return await this.#crashWorker();
      default:
        return await this.#loseAnswers(lastsMs);
    }
  }

  async #replace(
    daemon: SiteDaemon,
    { signal, lastsMs }: {
      readonly signal: "SIGKILL" | "SIGTERM";
      readonly lastsMs: number;
    },
  ): Promise<void> {
    this.#note(`${signal} ${daemon.name}`);
    // Two processes must not get the same ports.
    if (this.#replacing.has(daemon)) return;
    this.#replacing.add(daemon);
    const { child } = daemon;
    const gone = new Promise((resolve) => child.once("exit", resolve));
    // A process that stands still would not take its leave.
    child.kill("SIGCONT");
    child.kill(signal);
    await gone;
    await pause(lastsMs / 4);
    this.#site.restart(daemon);
    this.#replacing.delete(daemon);
  }

  async #freeze(daemon: SiteDaemon, lastsMs: number): Promise<void> {
    this.#note(`freeze ${daemon.name} ${lastsMs}`);
    const { child } = daemon;
    child.kill("SIGSTOP");
    await pause(lastsMs);
    child.kill("SIGCONT");
  }

  async #killAll(lastsMs: number): Promise<void> {
    this.#note("kill all");
    await Promise.all(
      this.#site.daemons.map((daemon) =>
        this.#replace(daemon, { signal: "SIGKILL", lastsMs: lastsMs / 2 })
      ),
    );
  }

  async #disturb(name: string, lastsMs: number): Promise<void> {
    const moods: readonly ProxyMood[] = [
      "delay",
      "silent",
      "reset",
      "upstreamOnly",
    ];
    const mood = moods[this.#random(0, moods.length - 1)]!;
    this.#note(`${mood} ${name} ${lastsMs}`);
    const proxy = this.#proxies.get(name);
    if (proxy === undefined) return;
    proxy.mood = mood;
    await pause(lastsMs);
    proxy.mood = "well";
  }

  async #storeMood(lastsMs: number): Promise<void> {
    const moods = ["busy", "silent", "loses answers"] as const;
    const mood = moods[this.#random(0, moods.length - 1)]!;
    this.#note(`store ${mood} ${lastsMs}`);
    this.#site.store.mood = mood;
    await pause(lastsMs);
    this.#site.store.mood = "well";
  }

  async #crashWorker(): Promise<void> {
    const worker = this.#anyWorker();
    this.#note(`crash ${worker.id}`);
    await this.#site.restartWorker(worker);
  }

  async #loseAnswers(lastsMs: number): Promise<void> {
    const worker = this.#anyWorker();
    this.#note(`lost answers ${worker.id} ${lastsMs}`);
    worker.losesAnswers = true;
    await pause(lastsMs);
    worker.losesAnswers = false;
  }

  /** Waits until every accepted job has ended, with nothing harmed any more. */
  async #settle(): Promise<void> {
    const open = this.#jobs.filter((job) => job.tries.includes(200));
    const end = Date.now() + SETTLE_MS;
    for (const job of open) {
      await until(async () => {
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

  #anyWorker(): PlatformSite["workers"][number] {
    const { workers } = this.#site;
    return workers[this.#random(0, workers.length - 1)]!;
  }

  #note(fault: string): void {
    const leftMs = this.#endMs - Date.now();
    this.#faults.push(`${this.#options.lengthMs - leftMs} ms ${fault}`);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
