/**
 * One seeded run: daemons as processes, faults from outside them, clients that
 * go on all the while.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { PlatformSite, type SiteDaemon } from "../platform/standins/site.ts";
import { check, type EvacuatedZone, type Finding } from "./checks.ts";
import { Clients, pause, type Random } from "./clients.ts";
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

/** Runs that fit on a worker at once: its cores by a task's. */
const ROOM = 8;
/** Zones of the workers, by turns. */
const ZONES = ["a", "b"];
/** The zone that is evacuated; the other one goes on. */
const EVACUATED = "b";

/** Carries out one run. */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const random = randomOf(options.seed);
  const proxies = new Map<string, Proxy>();
  const site = await PlatformSite.start({
    daemons: options.daemons,
    workers: options.workers,
    zones: ZONES,
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

function randomOf(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return (from, to) => uniformInt(generator, from, to);
}

class SoakRun {
  readonly #site: PlatformSite;
  readonly #proxies: ReadonlyMap<string, Proxy>;
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #clients: Clients;
  readonly #faults: string[] = [];
  readonly #replacing = new Set<SiteDaemon>();
  readonly #evacuated: EvacuatedZone[] = [];
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
    this.#clients = new Clients(site, random);
  }

  async play(): Promise<SoakResult> {
    this.#endMs = Date.now() + this.#options.lengthMs;
    for (const worker of this.#site.workers) {
      worker.workMs = this.#random(100, 900);
    }
    const submitted = this.#clients.submitUntil(this.#endMs);
    const harm = [this.#harm(), this.#harm(), this.#evacuate()];
    await Promise.all([submitted, ...harm]);
    await this.#clients.settle();
    const { jobs, canceledMs } = this.#clients;
    const record = this.#site.recordedRuns;
    const findings = check(jobs, record, {
      room: ROOM,
      canceledMs,
      evacuated: this.#evacuated,
    });
    return {
      findings,
      faults: this.#faults,
      jobs: jobs.length,
      accepted: jobs.filter((job) => job.tries.includes(200)).length,
      runs: record.length,
      logs: this.#site.daemons.flatMap((daemon) => daemon.log),
    };
  }

  /** One fault after the other; two of these overlap. */
  async #harm(): Promise<void> {
    while (Date.now() < this.#endMs) {
      await pause(this.#random(100, 1_500));
      await this.#oneFault();
    }
  }

  /** Evacuates a zone again and again; the last time until all jobs have ended. */
  async #evacuate(): Promise<void> {
    // Draws of its own, so that a seed still brings the same faults.
    const random = randomOf(~this.#options.seed);
    const workers = new Set(
      this.#site.workers.filter(({ zone }) => zone === EVACUATED)
        .map(({ id }) => id),
    );
    while (Date.now() < this.#endMs) {
      await pause(random(200, 2_000));
      this.#note(`evacuate ${EVACUATED}`);
      this.#site.evacuate(EVACUATED);
      const fromMs = Date.now();
      const evacuated = { workers, fromMs, untilMs: Infinity };
      this.#evacuated.push(evacuated);
      await pause(random(1_000, 25_000));
      if (Date.now() >= this.#endMs) return;
      this.#note(`restore ${EVACUATED}`);
      evacuated.untilMs = Date.now();
      this.#site.restoreZone(EVACUATED);
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
    this.#site.store.mode = mood;
    await pause(lastsMs);
    this.#site.store.mode = "well";
  }

  async #crashWorker(): Promise<void> {
    const worker = this.#anyWorker();
    this.#note(`crash ${worker.id}`);
    await this.#site.restartWorker(worker);
  }

  async #loseAnswers(lastsMs: number): Promise<void> {
    const worker = this.#anyWorker();
    this.#note(`lost answers ${worker.id} ${lastsMs}`);
    worker.dropsResponses = true;
    await pause(lastsMs);
    worker.dropsResponses = false;
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
