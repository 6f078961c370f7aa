/**
 * Seeded soak run: injects faults into a site whose daemons are separate processes,
 * while clients submit jobs, and checks the guarantees afterwards.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { seededPolicy } from "../platform/standins/advice_server.ts";
import {
  PlatformSite,
  type SiteDaemon,
  waitFor,
} from "../platform/standins/site.ts";
import { queueOfJob } from "../platform/standins/site_settings.ts";
import { check, type EvacuationPeriod, type Finding } from "./checks.ts";
import { Clients, pause, type RandomInteger } from "./clients.ts";
import type { Disturbance } from "./idle.ts";
import { StarvationMonitor } from "./starvation.ts";
import { Proxy, type ProxyFault } from "./proxy.ts";

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the load and of the faults, milliseconds. */
  readonly lengthMs: number;
  readonly daemons: number;
  readonly workers: number;
  /** Whether jobs are submitted to all queues, and for a calm while after the faults; default: to the first queue only. */
  readonly advice?: boolean;
  /** Number of daemons to which the site is reduced for good; default: none is removed. */
  readonly left?: number;
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
  /** How long the machine gave the processes too little processor time, milliseconds. */
  readonly starvedMs: number;
  /** Log lines of all daemons. */
  readonly logs: readonly string[];
}

/** Number of runs that fit on a worker at once: the worker's cores divided by those of a task. */
const RUNS_PER_WORKER = 8;
/** Zones of the workers, assigned in turn. */
const ZONES = ["a", "b"];
/** Zone that is evacuated; the other one stays in service. */
const EVACUATED_ZONE = "b";

/** Parts of a seed that select the generators of refused connections and of removals. */
const REFUSALS = 0x5eed;
const REMOVALS = 0x1eff;

/** Share of the workers that the advice service allows for a step. */
const ALLOWED_SHARE = 0.5;
/** Intervals between submissions, milliseconds: to the first queue alone, and beside the others. */
const SUBMIT_INTERVAL_MS = 60;
const SHARED_INTERVAL_MS = 150;
/** Interval between submissions to the queues with advice or limits of teams, milliseconds. */
const OTHERS_INTERVAL_MS = 300;
/** How long submissions go on after the last fault, milliseconds. */
const CALM_MS = 8_000;
/** Time after which a restarted daemon counts as ready, milliseconds. */
const READY_TIMEOUT_MS = 15_000;
/** Interval at which a daemon to be removed is checked for a restart, milliseconds. */
const RESTART_POLL_MS = 20;

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
  readonly #disturbances: Disturbance[] = [];
  #endMs = 0;
  #isOver = false;

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
    const starvation = new StarvationMonitor(() =>
      this.#site.daemons.map(({ child }) => child.pid)
    );
    try {
      return await this.#execute(starvation);
    } finally {
      starvation.close();
    }
  }

  async #execute(starvation: StarvationMonitor): Promise<SoakResult> {
    this.#endMs = Date.now() + this.#options.lengthMs;
    for (const worker of this.#site.workers) {
      worker.workMs = this.#random(100, 900);
    }
    const { workers, advice } = this.#site;
    const { seed } = this.#options;
    advice.allows = seededPolicy(seed, ALLOWED_SHARE, workers);
    const submitted = this.#submit();
    const counted = this.#clients.countUntil(this.#endMs);
    const faults = [
      this.#injectFaults(),
      this.#injectFaults(),
      this.#evacuateRepeatedly(),
      this.#refuseRepeatedly(),
      this.#removeDaemons(),
    ];
    await Promise.all([counted, ...faults]);
    if (this.#options.advice) await pause(CALM_MS);
    this.#isOver = true;
    await submitted;
    await this.#clients.waitForJobs();
    const { jobs, canceledMs, waitingAnswers } = this.#clients;
    const record = this.#site.recordedRuns;
    const findings = check(jobs, record, {
      runsPerWorker: RUNS_PER_WORKER,
      canceledMs,
      evacuated: this.#evacuated,
      waitingAnswers,
      idle: {
        workers: workers.map(({ id }) => id),
        allows: (step, worker) =>
          queueOfJob(step).advice === undefined || advice.allows(step, worker),
        disturbances: [
          ...this.#disturbances,
          ...this.#evacuations(),
          ...starvation.periods,
        ],
        untilMs: Date.now(),
      },
    });
    return {
      findings,
      faults: this.#faults,
      jobs: jobs.length,
      accepted: jobs.filter((job) => job.statuses.includes(200)).length,
      runs: record.length,
      starvedMs: starvation.totalMs,
      logs: [...this.#site.daemons, ...this.#site.removedDaemons]
        .flatMap((daemon) => daemon.log),
    };
  }

  async #submit(): Promise<void> {
    if (!this.#options.advice) {
      const isOpen = () => Date.now() < this.#endMs;
      return await this.#clients.submitWhile(isOpen, SUBMIT_INTERVAL_MS);
    }
    const isOpen = () => !this.#isOver;
    await Promise.all([
      this.#clients.submitWhile(isOpen, SHARED_INTERVAL_MS),
      this.#clients.submitToOthersWhile(isOpen, OTHERS_INTERVAL_MS),
    ]);
  }

  /** Evacuated workers do not count as room. */
  #evacuations(): readonly Disturbance[] {
    return this.#evacuated.flatMap(({ workers, fromMs, untilMs }) =>
      [...workers].map((worker) => ({ worker, fromMs, untilMs }))
    );
  }

  /** Removes daemons for good until the number of the options is left. */
  async #removeDaemons(): Promise<void> {
    const { left, lengthMs, seed } = this.#options;
    if (left === undefined) return;
    const random = createRandom(seed ^ REMOVALS);
    const { daemons } = this.#site;
    await pause(lengthMs / 2);
    while (daemons.length > left) {
      const daemon = daemons[random(0, daemons.length - 1)]!;
      const signal = random(0, 1) === 0 ? "SIGKILL" : "SIGTERM";
      while (this.#restarting.has(daemon)) await pause(RESTART_POLL_MS);
      // It is not restarted any more.
      this.#restarting.add(daemon);
      const end = this.#beginFault(`remove ${daemon.name} ${signal}`);
      await this.#site.remove(daemon, signal);
      end();
      await pause(random(100, 1_500));
    }
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
    const end = this.#beginDisturbance();
    const { child } = daemon;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    // A process stopped by SIGSTOP does not handle SIGTERM.
    child.kill("SIGCONT");
    child.kill(signal);
    await exited;
    await pause(durationMs / 4);
    this.#site.restart(daemon);
    this.#restarting.delete(daemon);
    void this.#waitUntilReady(daemon).then(end);
  }

  /** Waits until a daemon is ready or removed, or the run is over. */
  async #waitUntilReady(daemon: SiteDaemon): Promise<void> {
    await waitFor(async () => {
      const isNeeded = !this.#isOver && this.#site.daemons.includes(daemon);
      return isNeeded && !await this.#site.isReady(daemon) ? undefined : true;
    }, READY_TIMEOUT_MS);
  }

  async #pauseProcess(daemon: SiteDaemon, durationMs: number): Promise<void> {
    const end = this.#beginFault(`freeze ${daemon.name} ${durationMs}`);
    const { child } = daemon;
    child.kill("SIGSTOP");
    await pause(durationMs);
    child.kill("SIGCONT");
    end();
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
    const proxy = this.#proxies.get(name);
    // A worker that refuses connections has carried out no order unknown to the leader.
    const worker = fault === "refuse" ? name.replace("worker:", "") : undefined;
    const end = this.#beginFault(`${fault} ${name} ${durationMs}`, worker);
    if (proxy !== undefined) {
      proxy.fault = fault;
      await pause(durationMs);
      proxy.fault = "well";
    }
    end();
  }

  async #injectStoreFault(durationMs: number): Promise<void> {
    const faults = ["busy", "silent", "loses answers"] as const;
    const fault = faults[this.#random(0, faults.length - 1)]!;
    const end = this.#beginFault(`store ${fault} ${durationMs}`);
    this.#site.store.mode = fault;
    await pause(durationMs);
    this.#site.store.mode = "well";
    end();
  }

  async #crashWorker(): Promise<void> {
    const worker = this.#chooseWorker();
    const end = this.#beginFault(`crash ${worker.id}`, worker.id);
    await this.#site.restartWorker(worker);
    end();
  }

  async #loseAnswers(durationMs: number): Promise<void> {
    const worker = this.#chooseWorker();
    const end = this.#beginFault(`lost answers ${worker.id} ${durationMs}`);
    worker.dropsResponses = true;
    await pause(durationMs);
    worker.dropsResponses = false;
    end();
  }

  #chooseDaemon(): SiteDaemon {
    const { daemons } = this.#site;
    return daemons[this.#random(0, daemons.length - 1)]!;
  }

  #chooseWorker(): PlatformSite["workers"][number] {
    const { workers } = this.#site;
    return workers[this.#random(0, workers.length - 1)]!;
  }

  /** Logs a fault; returns the function to call at its end. */
  #beginFault(fault: string, worker?: string): () => void {
    this.#logFault(fault);
    return this.#beginDisturbance(worker);
  }

  /** Without a worker, the disturbance is one of the whole site. */
  #beginDisturbance(worker?: string): () => void {
    const disturbance = {
      fromMs: Date.now(),
      untilMs: Infinity,
      ...(worker === undefined ? {} : { worker, isSilent: true }),
    };
    this.#disturbances.push(disturbance);
    return () => void (disturbance.untilMs = Date.now());
  }

  #logFault(fault: string): void {
    const leftMs = this.#endMs - Date.now();
    this.#faults.push(`${this.#options.lengthMs - leftMs} ms ${fault}`);
  }
}
