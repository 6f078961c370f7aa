/**
 * Seeded soak run: injects faults into a site whose daemons are separate processes,
 * while clients submit jobs, and checks the guarantees afterwards.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { PlatformSite, type SiteDaemon } from "../platform/standins/site.ts";
import { check, type EvacuationPeriod, type Finding } from "./checks.ts";
import { Clients, pause, type RandomInteger } from "./clients.ts";
import { Proxy, type ProxyFault } from "./proxy.ts";

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the load and of the faults, milliseconds. */
  readonly lengthMs: number;
  readonly daemons: number;
  readonly workers: number;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly findings: readonly Finding[];
  /** Description and time of each injected fault. */
  readonly faults: readonly string[];
  readonly jobs: number;
  /** Number of accepted jobs. */
  readonly accepted: number;
  readonly runs: number;
  /** Log lines of all daemons. */
  readonly logs: readonly string[];
}

/** Number of runs that fit on a worker at once: the worker's cores divided by those of a task. */
const RUNS_PER_WORKER = 8;
/** Zones of the workers, assigned in turn. */
const ZONES = ["a", "b"];
/** Zone that is evacuated; the other one stays in service. */
const EVACUATED_ZONE = "b";

/** Part of a seed that selects the generator of refused connections. */
const REFUSALS = 0x5eed;

/** Executes one soak run; rejects if the site does not start. Jobs that do not end in time are findings. */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
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
    return await run.execute();
  } finally {
    await site.close();
    for (const proxy of proxies.values()) proxy.close();
  }
}

function createRandom(seed: number): RandomInteger {
  const generator = xoroshiro128plus(seed);
  return (from, to) => uniformInt(generator, from, to);
}

class SoakRun {
  readonly #site: PlatformSite;
  readonly #proxies: ReadonlyMap<string, Proxy>;
  readonly #options: SoakOptions;
  readonly #random: RandomInteger;
  readonly #clients: Clients;
  readonly #faults: string[] = [];
  readonly #restarting = new Set<SiteDaemon>();
  readonly #evacuated: EvacuationPeriod[] = [];
  #endMs = 0;

  constructor(
    site: PlatformSite,
    proxies: ReadonlyMap<string, Proxy>,
    { options, random }: {
      readonly options: SoakOptions;
      readonly random: RandomInteger;
    },
  ) {
    this.#site = site;
    this.#proxies = proxies;
    this.#options = options;
    this.#random = random;
    this.#clients = new Clients(site, random);
  }

  async execute(): Promise<SoakResult> {
    this.#endMs = Date.now() + this.#options.lengthMs;
    for (const worker of this.#site.workers) {
      worker.workMs = this.#random(100, 900);
    }
    const submitted = this.#clients.submitUntil(this.#endMs);
    const counted = this.#clients.countUntil(this.#endMs);
    const faults = [
      this.#injectFaults(),
      this.#injectFaults(),
      this.#evacuateRepeatedly(),
      this.#refuseRepeatedly(),
    ];
    await Promise.all([submitted, counted, ...faults]);
    await this.#clients.waitForJobs();
    const { jobs, canceledMs, waitingAnswers } = this.#clients;
    const record = this.#site.recordedRuns;
    const findings = check(jobs, record, {
      runsPerWorker: RUNS_PER_WORKER,
      canceledMs,
      evacuated: this.#evacuated,
      waitingAnswers,
    });
    return {
      findings,
      faults: this.#faults,
      jobs: jobs.length,
      accepted: jobs.filter((job) => job.statuses.includes(200)).length,
      runs: record.length,
      logs: this.#site.daemons.flatMap((daemon) => daemon.log),
    };
  }

  /** Injects one fault after another. Two such loops run concurrently, so that faults overlap. */
  async #injectFaults(): Promise<void> {
    while (Date.now() < this.#endMs) {
      await pause(this.#random(100, 1_500));
      await this.#injectFault();
    }
  }

  /** Evacuates and restores a zone repeatedly; the last evacuation lasts until all jobs have ended. */
  async #evacuateRepeatedly(): Promise<void> {
    // A separate generator, so that evacuations do not change the faults that a seed produces.
    const random = createRandom(~this.#options.seed);
    const workers = new Set(
      this.#site.workers.filter(({ zone }) => zone === EVACUATED_ZONE)
        .map(({ id }) => id),
    );
    while (Date.now() < this.#endMs) {
      await pause(random(200, 2_000));
      this.#logFault(`evacuate ${EVACUATED_ZONE}`);
      this.#site.evacuate(EVACUATED_ZONE);
      const fromMs = Date.now();
      const evacuated = { workers, fromMs, untilMs: Infinity };
      this.#evacuated.push(evacuated);
      await pause(random(1_000, 25_000));
      if (Date.now() >= this.#endMs) return;
      this.#logFault(`restore ${EVACUATED_ZONE}`);
      evacuated.untilMs = Date.now();
      this.#site.restoreZone(EVACUATED_ZONE);
    }
  }

  /** Lets a worker refuse connections from time to time; its runs go on. */
  async #refuseRepeatedly(): Promise<void> {
    // A separate generator, so that these faults do not change the others of a seed.
    const random = createRandom(this.#options.seed ^ REFUSALS);
    const { workers } = this.#site;
    while (Date.now() < this.#endMs) {
      await pause(random(500, 3_000));
      const { id } = workers[random(0, workers.length - 1)]!;
      await this.#applyNetworkFault(
        `worker:${id}`,
        "refuse",
        random(300, 3_000),
      );
    }
  }

  async #injectFault(): Promise<void> {
    const durationMs = this.#random(200, 4_000);
    const daemon = this.#chooseDaemon();
    switch (this.#random(1, 9)) {
      case 1:
        return await this.#restart(daemon, { signal: "SIGKILL", durationMs });
      case 2:
        return await this.#restart(daemon, { signal: "SIGTERM", durationMs });
      case 3:
        return await this.#pauseProcess(daemon, durationMs);
      case 4:
        return await this.#killAll(durationMs);
      case 5:
        return await this.#injectNetworkFault(
          `store:${daemon.name}`,
          durationMs,
        );
      case 6:
        return await this.#injectNetworkFault(
          `worker:${this.#chooseWorker().id}`,
          durationMs,
        );
      case 7:
        return await this.#injectStoreFault(durationMs);
      case 8:
        return await this.#crashWorker();
      default:
        return await this.#loseAnswers(durationMs);
    }
  }

  async #restart(
    daemon: SiteDaemon,
    { signal, durationMs }: {
      readonly signal: "SIGKILL" | "SIGTERM";
      readonly durationMs: number;
    },
  ): Promise<void> {
    this.#logFault(`${signal} ${daemon.name}`);
    // A concurrent restart would start two processes with the same ports.
    if (this.#restarting.has(daemon)) return;
    this.#restarting.add(daemon);
    const { child } = daemon;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    // A process stopped by SIGSTOP does not handle SIGTERM.
    child.kill("SIGCONT");
    child.kill(signal);
    await exited;
    await pause(durationMs / 4);
    this.#site.restart(daemon);
    this.#restarting.delete(daemon);
  }

  async #pauseProcess(daemon: SiteDaemon, durationMs: number): Promise<void> {
    this.#logFault(`freeze ${daemon.name} ${durationMs}`);
    const { child } = daemon;
    child.kill("SIGSTOP");
    await pause(durationMs);
    child.kill("SIGCONT");
  }

  async #killAll(durationMs: number): Promise<void> {
    this.#logFault("kill all");
    await Promise.all(
      this.#site.daemons.map((daemon) =>
        this.#restart(daemon, { signal: "SIGKILL", durationMs: durationMs / 2 })
      ),
    );
  }

  async #injectNetworkFault(name: string, durationMs: number): Promise<void> {
    const faults: readonly ProxyFault[] = [
      "delay",
      "silent",
      "reset",
      "upstreamOnly",
    ];
    const fault = faults[this.#random(0, faults.length - 1)]!;
    await this.#applyNetworkFault(name, fault, durationMs);
  }

  async #applyNetworkFault(
    name: string,
    fault: ProxyFault,
    durationMs: number,
  ): Promise<void> {
    this.#logFault(`${fault} ${name} ${durationMs}`);
    const proxy = this.#proxies.get(name);
    if (proxy === undefined) return;
    proxy.fault = fault;
    await pause(durationMs);
    proxy.fault = "well";
  }

  async #injectStoreFault(durationMs: number): Promise<void> {
    const faults = ["busy", "silent", "loses answers"] as const;
    const fault = faults[this.#random(0, faults.length - 1)]!;
    this.#logFault(`store ${fault} ${durationMs}`);
    this.#site.store.mode = fault;
    await pause(durationMs);
    this.#site.store.mode = "well";
  }

  async #crashWorker(): Promise<void> {
    const worker = this.#chooseWorker();
    this.#logFault(`crash ${worker.id}`);
    await this.#site.restartWorker(worker);
  }

  async #loseAnswers(durationMs: number): Promise<void> {
    const worker = this.#chooseWorker();
    this.#logFault(`lost answers ${worker.id} ${durationMs}`);
    worker.dropsResponses = true;
    await pause(durationMs);
    worker.dropsResponses = false;
  }

  #chooseDaemon(): SiteDaemon {
    const { daemons } = this.#site;
    return daemons[this.#random(0, daemons.length - 1)]!;
  }

  #chooseWorker(): PlatformSite["workers"][number] {
    const { workers } = this.#site;
    return workers[this.#random(0, workers.length - 1)]!;
  }

  #logFault(fault: string): void {
    const leftMs = this.#endMs - Date.now();
    this.#faults.push(`${this.#options.lengthMs - leftMs} ms ${fault}`);
  }
}
