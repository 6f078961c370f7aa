/**
 * Polls each worker: renews its lease, applies its report, and acknowledges
 * completions once the store has recorded them.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { type CellContext, persist } from "./context.ts";
import { Completions } from "./endings.ts";
import { InitialPolls } from "./first_reports.ts";
import type { FleetWorker } from "./fleet.ts";
import { EstimateUpdates } from "./learning.ts";
import { findTask, isOver, type Job } from "./job.ts";
import type { LookFailure, ReportedRun, WorkerReport } from "./ports.ts";
import { tookOf } from "./run.ts";
import type { Runs } from "./runs.ts";
import { type PollResult, WorkerPollRequests } from "./worker_looks.ts";

/** Delay before a worker that did not answer is polled again. */
const POLL_RETRY_DELAY_MS = 250;
/** Completions are dated with at most this error: a tenth of a short run. */
const COMPLETION_TIME_TOLERANCE_MS = 50;
/**
 * After this number of refused connections in a row, the worker's process
 * counts as dead.
 */
const MAX_REFUSED_CONNECTIONS = 2;
/**
 * A worker that is unlisted, unreachable and without runs for this long is
 * removed.
 */
const FORGET_DELAY_MS = 8_000;
/** Maximum delay between two polls while completions wait for the store. */
const MAX_STORE_WAIT_MS = 1_000;

/** Polls all workers of one leader. */
export class Follower {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #estimates: EstimateUpdates;
  readonly #completions: Completions;
  readonly #pollRequests: WorkerPollRequests;
  readonly #polled = new Set<string>();
  readonly #initialPolls: InitialPolls;
  #closed = false;

  constructor(context: CellContext, runs: Runs) {
    this.#context = context;
    this.#runs = runs;
    this.#estimates = new EstimateUpdates(context);
    this.#completions = new Completions(context, runs, this.#estimates);
    this.#pollRequests = new WorkerPollRequests(context, runs);
    this.#initialPolls = new InitialPolls(
      context.clock,
      (worker) => this.#pollFirst(worker),
    );
  }

  /**
   * Starts to poll a worker, until it is removed. Without effect if it is being
   * polled.
   */
  follow(worker: FleetWorker): void {
    if (this.#polled.has(worker.id)) return;
    this.#polled.add(worker.id);
    this.#initialPolls.add(worker);
  }

  /** Polls a worker once, immediately and in addition to the loop. */
  lookNow(worker: FleetWorker): Promise<unknown> {
    return this.#poll(worker, { waitMs: 0 });
  }

  /** Ends all loops. */
  close(): void {
    this.#closed = true;
    this.#initialPolls.close();
  }

  /** Polls a worker for its first report, then starts its loop. */
  #pollFirst(worker: FleetWorker): Promise<unknown> {
    const firstPoll = this.#poll(worker, { waitMs: 0 });
    firstPoll.then(() => this.#pollRepeatedly(worker)).catch((error) =>
      this.#context.log.error("follower.failed", {
        worker: worker.id,
        reason: String((error as Error).stack ?? error),
      })
    );
    return firstPoll;
  }

  async #pollRepeatedly(worker: FleetWorker): Promise<void> {
    const { clock, fleet, orders: workerClient, lostAnswers } = this.#context;
    let refusals = 0;
    while (!this.#closed) {
      if (this.#isRemovable(worker)) break;
      const waitMs = lostAnswers.waitMs(clock.monotonic());
      const outcome = await this.#poll(worker, { waitMs });
      if (outcome === "report") {
        refusals = 0;
        if (worker.handled > worker.acknowledged) await this.#savesDone(worker);
        continue;
      }
      refusals = outcome === "refused" ? refusals + 1 : 0;
      if (refusals >= MAX_REFUSED_CONNECTIONS) {
        this.#runs.loseAll(worker, "workerDead");
      }
      await sleep(clock, POLL_RETRY_DELAY_MS);
    }
    this.#polled.delete(worker.id);
    if (this.#closed) return;
    fleet.workers.delete(worker.id);
    if (worker.entry !== undefined) workerClient.forget(worker.entry.address);
  }

  /**
   * Waits until the store has recorded the applied completions, but no longer
   * than the lease can go without a renewal.
   */
  async #savesDone(worker: FleetWorker): Promise<void> {
    const limit = sleep(this.#context.clock, MAX_STORE_WAIT_MS);
    await Promise.race([worker.saving, limit]);
  }

  async #poll(
    worker: FleetWorker,
    { waitMs }: { readonly waitMs: number },
  ): Promise<PollOutcome> {
    return this.#handleResult(
      worker,
      await this.#pollRequests.poll(worker, { waitMs }),
    );
  }

  #handleResult(
    worker: FleetWorker,
    result: PollResult | undefined,
  ): PollOutcome {
    const { clock } = this.#context;
    if (result === undefined || this.#closed) return "failed";
    if (result.isErr()) return this.#handleFailure(worker, result.error);
    const { report, sentMs } = result.value;
    if (worker.bornMs !== undefined && (report.bornMs ?? 0) < worker.bornMs) {
      return "failed";
    }
    this.#detectRestart(worker, report);
    worker.clockOffsetMs = report.clockMs - clock.monotonic();
    const before = worker.reportedMs === 0 ? "unknown" : "silent";
    worker.reportedMs = sentMs;
    const timely = this.#isTimely(worker, sentMs);
    worker.heardMs = clock.monotonic();
    if (!worker.reachable) this.#markReachable(worker, before);
    this.#applyReport(worker, { report, sentMs, timely });
    return "report";
  }

  /**
   * Whether completions in a report that was just received have only just
   * happened: either the poll waited for them, or the previous report was
   * received just before.
   */
  #isTimely(worker: FleetWorker, sentMs: number): boolean {
    const nowMs = this.#context.clock.monotonic();
    return nowMs - sentMs > COMPLETION_TIME_TOLERANCE_MS ||
      sentMs - worker.heardMs < COMPLETION_TIME_TOLERANCE_MS;
  }

  #handleFailure(worker: FleetWorker, failure: LookFailure): PollOutcome {
    const { log, deposed: stepDown, metrics, clock, fence } = this.#context;
    metrics.count("look_failures", { type: failure.type });
    if (failure.type === "fenced") {
      stepDown(`worker ${worker.id} has seen a higher fence`);
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

  #markReachable(
    worker: FleetWorker,
    previousState: "unknown" | "silent",
  ): void {
    worker.reachable = true;
    // The first reports after a takeover are not logged one by one. The
    // `cell.load` line counts them.
    if (previousState === "silent") {
      this.#context.log.info("worker.answers", {
        worker: worker.id,
        fence: this.#context.fence,
        runs: worker.runs.size,
      });
    }
    this.#context.kick();
  }

  #detectRestart(worker: FleetWorker, report: WorkerReport): void {
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

  #applyReport(
    worker: FleetWorker,
    { report, sentMs, timely }: {
      readonly report: WorkerReport;
      readonly sentMs: number;
      readonly timely: boolean;
    },
  ): void {
    const changedJobs = new Set<Job>();
    const reportedRuns = new Set<string>();
    const nowMs = this.#context.clock.monotonic();
    for (const completion of report.ended) {
      reportedRuns.add(`${completion.task} ${completion.run}`);
      if (completion.number <= worker.handled) continue;
      const found = findTask(this.#context.jobs, completion.task);
      const current = worker.runs.get(completion.task);
      const elapsedMs = tookOf(current, completion.run, nowMs);
      // The run ended at an unknown time since the previous report, so its run
      // time is not known.
      if (!timely && current !== undefined) current.startedMs = undefined;
      const job = found && this.#completions.apply(worker, completion, found);
      // Also if this completion did not count: another member may have
      // completed the gang, and the acknowledgment waits until that is
      // recorded.
      if (found !== undefined) changedJobs.add(found.step.job);
      this.#logCompletion(worker, completion, {
        counted: job !== undefined,
        tookMs: elapsedMs,
      });
    }
    const numbers = report.ended.map((ended) => ended.number);
    worker.handled = Math.max(worker.handled, ...numbers);
    for (const reported of report.running) {
      reportedRuns.add(`${reported.task} ${reported.run}`);
      this.#applyRunning(worker, reported);
    }
    for (const run of [...worker.runs.values()]) {
      const provableAfterMs = run.provableAfterMs;
      if (reportedRuns.has(`${run.task.id} ${run.number}`)) continue;
      if (provableAfterMs !== undefined && provableAfterMs < sentMs) {
        this.#runs.lose(run, "notThere");
      }
    }
    if (report.ended.length > 0) this.#context.kick();
    if (numbers.length > 0) this.#acknowledgeOnceSaved(worker, changedJobs);
  }

  /**
   * Acknowledges completions in their order, each once the store has recorded
   * its job.
   */
  #acknowledgeOnceSaved(worker: FleetWorker, changedJobs: Iterable<Job>): void {
    const upTo = worker.handled;
    const processStartMs = worker.bornMs;
    // The rest of a job often completes soon after, so the write may wait to
    // include it in the same transaction.
    const withinMs = this.#context.jobLog.gatherEndsMs;
    const saves = [...changedJobs].map((job) =>
      persist(this.#context, job, isOver(job) ? {} : { withinMs })
    );
    const previousSaves = worker.saving;
    worker.saving = Promise.all([previousSaves, ...saves]).then(
      ([, ...saved]) => {
        const allSaved = saved.every((one) => one === "saved");
        if (!allSaved || worker.bornMs !== processStartMs) return;
        worker.acknowledged = Math.max(worker.acknowledged, upTo);
      },
    );
  }

  #applyRunning(worker: FleetWorker, reported: ReportedRun): void {
    const run = worker.runs.get(reported.task);
    if (run === undefined || run.number !== reported.run) {
      if (!this.#inDoneGang(reported)) this.#stopOrphan(worker, reported);
      return;
    }
    run.seen = true;
    run.provableAfterMs ??= this.#context.clock.monotonic();
    if (reported.checkpoint !== "") run.task.checkpoint = reported.checkpoint;
    if (reported.percent > run.percent) {
      run.percent = reported.percent;
      run.progressMs = this.#context.clock.monotonic();
    }
    this.#estimates.runReported(run);
    if (isOver(run.step.job)) this.#runs.stop(run);
  }

  /**
   * Whether a run belongs to a gang that is done. Reports may show its members
   * for some more milliseconds.
   */
  #inDoneGang(reported: ReportedRun): boolean {
    const found = findTask(this.#context.jobs, reported.task);
    return found !== undefined && found.step.spec.gang &&
      found.task.phase === "done" && found.task.run === reported.run;
  }

  /**
   * Stops an orphan run: one that was started late by a delayed request, or
   * whose job has ended.
   */
  #stopOrphan(worker: FleetWorker, reported: ReportedRun): void {
    const { orders: workerClient, fence, log, holds: isLeading } =
      this.#context;
    const address = worker.entry?.address;
    if (address === undefined || !isLeading()) return;
    log.warn("run.stray", {
      task: reported.task,
      run: reported.run,
      worker: worker.id,
      fence,
    });
    const request = { task: reported.task, run: reported.run, fence };
    void workerClient.stop({ id: worker.id, address }, request);
  }

  #isRemovable(worker: FleetWorker): boolean {
    const now = this.#context.clock.monotonic();
    return !worker.listed && !worker.reachable && worker.runs.size === 0 &&
      now - worker.reportedMs > FORGET_DELAY_MS;
  }

  #logCompletion(
    worker: FleetWorker,
    { task, run, kind }: WorkerReport["ended"][number],
    figures: { readonly counted: boolean; readonly tookMs: number | undefined },
  ): void {
    const { log, fence } = this.#context;
    const identity = { task, run, worker: worker.id, fence, how: kind };
    log.info("run.end", { ...identity, ...figures });
  }
}

/** Outcome of a poll. `refused`: the connection was refused. */
type PollOutcome = "report" | "refused" | "failed";
