/**
 * Follows each worker: renews its lease, takes what it reports, and
 * acknowledges ends once the store holds them.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { type CellContext, persist } from "./context.ts";
import { Endings } from "./endings.ts";
import { FirstReports } from "./first_reports.ts";
import type { FleetWorker } from "./fleet.ts";
import { Learning } from "./learning.ts";
import { findTask, isOver, type Job } from "./job.ts";
import type { LookFailure, ReportedRun, WorkerReport } from "./ports.ts";
import { tookOf } from "./run.ts";
import type { Runs } from "./runs.ts";
import { type Asked, WorkerLooks } from "./worker_looks.ts";

/** Delay before a worker that did not answer is asked again, milliseconds. */
const LOOK_AGAIN_MS = 250;
/** Ends are dated to this, milliseconds: a tenth of a short run. */
const TIMELY_MS = 50;
/** Refused connections in a row after which the process is taken as dead. */
const REFUSALS_OF_THE_DEAD = 2;
/** A worker that is unlisted, unreachable and empty for so long is dropped, milliseconds. */
const FORGET_MS = 8_000;
/** Delay between looks while ends wait for the store, milliseconds. */
const STORE_WAIT_MS = 1_000;

/** Follows all workers of one holder. */
export class Follower {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #learning: Learning;
  readonly #endings: Endings;
  readonly #looks: WorkerLooks;
  readonly #followed = new Set<string>();
  readonly #firstReports: FirstReports;
  #closed = false;

  constructor(context: CellContext, runs: Runs) {
    this.#context = context;
    this.#runs = runs;
    this.#learning = new Learning(context);
    this.#endings = new Endings(context, runs, this.#learning);
    this.#looks = new WorkerLooks(context, runs);
    this.#firstReports = new FirstReports(
      context.clock,
      (worker) => this.#meet(worker),
    );
  }

  /** Follows a worker until it is forgotten. */
  follow(worker: FleetWorker): void {
    if (this.#followed.has(worker.id)) return;
    this.#followed.add(worker.id);
    this.#firstReports.add(worker);
  }

  /** Takes a report at once, besides the loop. */
  lookNow(worker: FleetWorker): Promise<unknown> {
    return this.#look(worker, { waitMs: 0 });
  }

  /** Ends all loops. */
  close(): void {
    this.#closed = true;
    this.#firstReports.close();
  }

  /** Takes the first report of a worker; the loop goes on from there. */
  #meet(worker: FleetWorker): Promise<unknown> {
    const met = this.#look(worker, { waitMs: 0 });
    met.then(() => this.#loop(worker)).catch((error) =>
      this.#context.log.error("follower.failed", {
        worker: worker.id,
        reason: String((error as Error).stack ?? error),
      })
    );
    return met;
  }

  async #loop(worker: FleetWorker): Promise<void> {
    const { clock, fleet, orders, lostAnswers } = this.#context;
    let refusals = 0;
    while (!this.#closed) {
      if (this.#isForgotten(worker)) break;
      const waitMs = lostAnswers.waitMs(clock.monotonic());
      const look = await this.#look(worker, { waitMs });
      if (look === "report") {
        refusals = 0;
        if (worker.handled > worker.acknowledged) await this.#saved(worker);
        continue;
      }
      refusals = look === "refused" ? refusals + 1 : 0;
      if (refusals >= REFUSALS_OF_THE_DEAD) {
        this.#runs.loseAll(worker, "workerDead");
      }
      await sleep(clock, LOOK_AGAIN_MS);
    }
    this.#followed.delete(worker.id);
    if (this.#closed) return;
    fleet.workers.delete(worker.id);
    if (worker.entry !== undefined) orders.forget(worker.entry.address);
  }

  /** Waits for the store, but no longer than the lease can go without a renewal. */
  async #saved(worker: FleetWorker): Promise<void> {
    const limit = sleep(this.#context.clock, STORE_WAIT_MS);
    await Promise.race([worker.saving, limit]);
  }

  async #look(
    worker: FleetWorker,
    { waitMs }: { readonly waitMs: number },
  ): Promise<Look> {
    return this.#settle(worker, await this.#looks.ask(worker, { waitMs }));
  }

  #settle(worker: FleetWorker, asked: Asked | undefined): Look {
    const { clock } = this.#context;
    if (asked === undefined || this.#closed) return "failed";
    if (asked.isErr()) return this.#failed(worker, asked.error);
    const { report, sentMs } = asked.value;
    if (worker.bornMs !== undefined && (report.bornMs ?? 0) < worker.bornMs) {
      return "failed";
    }
    this.#noteLife(worker, report);
    worker.clockOffsetMs = report.clockMs - clock.monotonic();
    const before = worker.reportedMs === 0 ? "unknown" : "silent";
    worker.reportedMs = sentMs;
    const timely = this.#isTimely(worker, sentMs);
    worker.heardMs = clock.monotonic();
    if (!worker.reachable) this.#regained(worker, before);
    this.#take(worker, { report, sentMs, timely });
    return "report";
  }

  /** Whether ends in a report that has just come are from this moment: it waited for them, or the one before has just been read. */
  #isTimely(worker: FleetWorker, sentMs: number): boolean {
    const nowMs = this.#context.clock.monotonic();
    return nowMs - sentMs > TIMELY_MS || sentMs - worker.heardMs < TIMELY_MS;
  }

  #failed(worker: FleetWorker, failure: LookFailure): Look {
    const { log, deposed, metrics, clock, fence } = this.#context;
    metrics.count("look_failures", { type: failure.type });
    if (failure.type === "fenced") {
      deposed(`worker ${worker.id} has seen a higher fence`);
      return "failed";
    }
    if (worker.reachable) {
      log.warn("worker.silent", {
        worker: worker.id,
        fence,
        runs: worker.runs.size,
        leaseLeftMs: Math.round(worker.leaseBoundMs - clock.monotonic()),
        failure: failure.type,
        reason: failure.message,
      });
    }
    worker.reachable = false;
    if (failure.type === "otherBoot") {
      this.#runs.loseAll(worker, "otherBoot");
    }
    return failure.type === "refused" ? "refused" : "failed";
  }

  #regained(worker: FleetWorker, before: "unknown" | "silent"): void {
    worker.reachable = true;
    // All workers answer for the first time after a takeover: the load line counts them.
    if (before === "silent") {
      this.#context.log.info("worker.answers", {
        worker: worker.id,
        fence: this.#context.fence,
        runs: worker.runs.size,
      });
    }
    this.#context.kick();
  }

  #noteLife(worker: FleetWorker, report: WorkerReport): void {
    if (report.bornMs === worker.bornMs) return;
    if (worker.bornMs !== undefined) {
      this.#context.log.info("worker.reborn", {
        worker: worker.id,
        bornMs: report.bornMs,
        before: worker.bornMs,
      });
      this.#context.workerSpeeds.reborn(worker);
    }
    worker.bornMs = report.bornMs;
    worker.acknowledged = 0;
    worker.handled = 0;
  }

  #take(
    worker: FleetWorker,
    { report, sentMs, timely }: {
      readonly report: WorkerReport;
      readonly sentMs: number;
      readonly timely: boolean;
    },
  ): void {
    const changed = new Set<Job>();
    const listed = new Set<string>();
    const nowMs = this.#context.clock.monotonic();
    for (const ended of report.ended) {
      listed.add(`${ended.task} ${ended.run}`);
      if (ended.number <= worker.handled) continue;
      const found = findTask(this.#context.jobs, ended.task);
      const current = worker.runs.get(ended.task);
      const tookMs = tookOf(current, ended.run, nowMs);
      // It ended at some time since the report before: its run time is not known.
      if (!timely && current !== undefined) current.startedMs = undefined;
      const job = found && this.#endings.end(worker, ended, found);
      // Another member may have ended a gang: this end waits for that to be held.
      if (found !== undefined) changed.add(found.step.job);
      this.#logEnd(worker, ended, { counted: job !== undefined, tookMs });
    }
    const numbers = report.ended.map((ended) => ended.number);
    worker.handled = Math.max(worker.handled, ...numbers);
    for (const reported of report.running) {
      listed.add(`${reported.task} ${reported.run}`);
      this.#takeRunning(worker, reported);
    }
    for (const run of [...worker.runs.values()]) {
      const proof = run.provableAfterMs;
      if (listed.has(`${run.task.id} ${run.number}`)) continue;
      if (proof !== undefined && proof < sentMs) {
        this.#runs.lose(run, "notThere");
      }
    }
    if (report.ended.length > 0) this.#context.kick();
    if (numbers.length > 0) this.#acknowledgeOnceSaved(worker, changed);
  }

  /** Ends count as acknowledged in their order, each once the store holds its job. */
  #acknowledgeOnceSaved(worker: FleetWorker, changed: Iterable<Job>): void {
    const upTo = worker.handled;
    const bornMs = worker.bornMs;
    // What is left of a job often ends soon after: one transaction does for both.
    const withinMs = this.#context.jobLog.gatherEndsMs;
    const saves = [...changed].map((job) =>
      persist(this.#context, job, isOver(job) ? {} : { withinMs })
    );
    const before = worker.saving;
    worker.saving = Promise.all([before, ...saves]).then(([, ...saved]) => {
      const held = saved.every((one) => one === "saved");
      if (!held || worker.bornMs !== bornMs) return;
      worker.acknowledged = Math.max(worker.acknowledged, upTo);
    });
  }

  #takeRunning(worker: FleetWorker, reported: ReportedRun): void {
    const run = worker.runs.get(reported.task);
    if (run === undefined || run.number !== reported.run) {
      if (!this.#endsWithItsGang(reported)) this.#stopStray(worker, reported);
      return;
    }
    run.seen = true;
    run.provableAfterMs ??= this.#context.clock.monotonic();
    if (reported.checkpoint !== "") run.task.checkpoint = reported.checkpoint;
    if (reported.percent > run.percent) {
      run.percent = reported.percent;
      run.progressMs = this.#context.clock.monotonic();
    }
    this.#learning.running(run);
    if (isOver(run.step.job)) this.#runs.stop(run);
  }

  /** Whether a run belongs to a gang that is done: reports show its members for some milliseconds more. */
  #endsWithItsGang(reported: ReportedRun): boolean {
    const found = findTask(this.#context.jobs, reported.task);
    return found !== undefined && found.step.spec.gang &&
      found.task.phase === "done" && found.task.run === reported.run;
  }

  /** Ends a run that nobody counts on: an order that was carried out late, or one of a job that is over. */
  #stopStray(worker: FleetWorker, reported: ReportedRun): void {
    const { orders, fence, log, holds } = this.#context;
    const address = worker.entry?.address;
    if (address === undefined || !holds()) return;
    log.warn("run.stray", {
      task: reported.task,
      run: reported.run,
      worker: worker.id,
      fence,
    });
    const order = { task: reported.task, run: reported.run, fence };
    void orders.stop({ id: worker.id, address }, order);
  }

  #isForgotten(worker: FleetWorker): boolean {
    const now = this.#context.clock.monotonic();
    return !worker.listed && !worker.reachable && worker.runs.size === 0 &&
      now - worker.reportedMs > FORGET_MS;
  }

  #logEnd(
    worker: FleetWorker,
    { task, run, kind }: WorkerReport["ended"][number],
    figures: { readonly counted: boolean; readonly tookMs: number | undefined },
  ): void {
    const { log, fence } = this.#context;
    const about = { task, run, worker: worker.id, fence, how: kind };
    log.info("run.end", { ...about, ...figures });
  }
}

/** What came of a look. */
type Look = "report" | "refused" | "failed";
