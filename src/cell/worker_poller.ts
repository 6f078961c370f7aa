/**
 * Polls each worker: renews its lease, applies its report, and acknowledges
 * completions once the store has recorded them.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { type CellContext, endTermOnFailure, saveJob } from "./context.ts";
import { Completions } from "./completions.ts";
import { InitialPolls } from "./initial_polls.ts";
import type { FleetWorker } from "./fleet.ts";
import { EstimateUpdates } from "./estimate_updates.ts";
import { findTask, isFinished, type Job } from "./job.ts";
import type { PollFailure, ReportedRun, WorkerReport } from "./ports.ts";
import { elapsedMsOf } from "./run.ts";
import type { Runs } from "./runs.ts";
import { type PollResult, WorkerPollRequests } from "./worker_poll_requests.ts";

/** Delay before the leader polls a worker again that did not answer. */
const POLL_RETRY_DELAY_MS = 250;
/** Maximum error in the time at which a run is taken to have completed: a tenth of a short run. */
const COMPLETION_TIME_TOLERANCE_MS = 50;
/**
 * A worker that is unlisted, unreachable and without runs for this long is
 * removed.
 */
const FORGET_DELAY_MS = 8_000;
/**
 * Maximum time for which the leader delays the next poll of a worker because
 * the worker's completions are not stored yet.
 */
const MAX_STORE_WAIT_MS = 1_000;

/** Polls all workers of one leader. */
export class WorkerPoller {
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
  startPolling(worker: FleetWorker): void {
    if (this.#polled.has(worker.id)) return;
    this.#polled.add(worker.id);
    this.#initialPolls.add(worker);
  }

  /** Polls a worker once immediately, in addition to the loop that polls it. */
  pollNow(worker: FleetWorker): Promise<unknown> {
    return endTermOnFailure(
      this.#context,
      `poll of ${worker.id}`,
      () => this.#poll(worker, { waitMs: 0 }),
    );
  }

  /** Ends the polling of all workers. */
  close(): void {
    this.#closed = true;
    this.#initialPolls.close();
  }

  /** Polls a worker for its first report, then starts the loop that polls it. */
  #pollFirst(worker: FleetWorker): Promise<unknown> {
    const firstPoll = this.pollNow(worker);
    void endTermOnFailure(this.#context, `poll of ${worker.id}`, async () => {
      await firstPoll;
      await this.#pollRepeatedly(worker);
    });
    return firstPoll;
  }

  async #pollRepeatedly(worker: FleetWorker): Promise<void> {
    const { clock, fleet, workerClient, lostAnswers } = this.#context;
    while (!this.#closed) {
      if (this.#isRemovable(worker)) break;
      // A worker that returns without a completion to report answers at once, so
      // its capacity is usable again; and a poll that is lost times out sooner.
      const waitMs = worker.reachable
        ? lostAnswers.waitMs(clock.monotonic())
        : 0;
      const outcome = await this.#poll(worker, { waitMs });
      if (outcome === "report") {
        if (worker.applied > worker.acknowledged) await this.#savesDone(worker);
        continue;
      }
      await sleep(clock, POLL_RETRY_DELAY_MS);
    }
    this.#polled.delete(worker.id);
    if (this.#closed) return;
    fleet.workers.delete(worker.id);
    if (worker.entry !== undefined) {
      workerClient.disconnect(worker.entry.address);
    }
  }

  /**
   * Waits until the store has recorded the worker's applied completions, but no
   * longer than the worker's lease can go without a renewal.
   */
  async #savesDone(worker: FleetWorker): Promise<void> {
    const limit = sleep(this.#context.clock, MAX_STORE_WAIT_MS);
    await Promise.race([worker.completionsSaved, limit]);
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
    const { sentMs } = result;
    if (result.outcome.isErr()) {
      return this.#handleFailure(worker, result.outcome.error, sentMs);
    }
    const report = result.outcome.value;
    if (isFromFormerProcess(worker, report, sentMs)) return "failed";
    this.#detectRestart(worker, report);
    worker.clockOffsetMs = report.clockMs - clock.monotonic();
    const before = worker.reportRequestedMs === 0 ? "unknown" : "silent";
    worker.reportRequestedMs = sentMs;
    const timely = this.#isTimely(worker, sentMs);
    worker.reportReceivedMs = clock.monotonic();
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
      sentMs - worker.reportReceivedMs < COMPLETION_TIME_TOLERANCE_MS;
  }

  #handleFailure(
    worker: FleetWorker,
    failure: PollFailure,
    sentMs: number,
  ): PollOutcome {
    const { log, stepDown, metrics, clock, fence } = this.#context;
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
      this.#runs.markAbsent(worker, {
        evidence: { type: "otherProcess", requestedMs: sentMs },
        reason: "otherBoot",
      });
    }
    return "failed";
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
    this.#context.requestPass();
  }

  #detectRestart(worker: FleetWorker, report: WorkerReport): void {
    if (report.processStartMs === worker.processStartMs) return;
    if (worker.processStartMs !== undefined) {
      this.#context.log.info("worker.reborn", {
        worker: worker.id,
        bornMs: report.processStartMs,
        before: worker.processStartMs,
      });
      this.#context.workerSpeeds.recordRestart(worker);
    }
    worker.processStartMs = report.processStartMs;
    worker.processSeenMs = this.#context.clock.monotonic();
    worker.acknowledged = 0;
    worker.applied = 0;
    this.#stopUnansweredStarts(worker, report);
  }

  /**
   * Stops the runs whose starts the new process of a worker may still receive:
   * it knows nothing of those that its predecessor has received.
   */
  #stopUnansweredStarts(
    worker: FleetWorker,
    { running }: WorkerReport,
  ): void {
    const received = new Set(running.map(({ task, run }) => `${task} ${run}`));
    for (const run of worker.runs.values()) {
      if (!run.startUnanswered) continue;
      if (received.has(`${run.task.id} ${run.number}`)) continue;
      run.absenceProvableAfterMs = undefined;
      run.stopSentMs = -Infinity;
      this.#runs.stop(run);
    }
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
    const nowMs = this.#context.clock.monotonic();
    for (const completion of report.completions) {
      if (completion.sequence <= worker.applied) continue;
      const found = findTask(this.#context.jobs, completion.task);
      const current = worker.runs.get(completion.task);
      const elapsedMs = elapsedMsOf(current, completion.run, nowMs);
      // The run ended at an unknown time since the previous report, so its run
      // time is not known.
      if (!timely && current !== undefined) current.startedMs = undefined;
      const job = found && this.#completions.apply(worker, completion, found);
      // Saves the job also if this completion had no effect: another member may
      // have completed the gang, and the acknowledgment waits until that is
      // recorded.
      if (found !== undefined) changedJobs.add(found.step.job);
      this.#logCompletion(worker, completion, {
        counted: job !== undefined,
        tookMs: elapsedMs,
      });
    }
    const numbers = report.completions.map((ended) => ended.sequence);
    worker.applied = Math.max(worker.applied, ...numbers);
    for (const reported of report.running) {
      this.#applyRunning(worker, reported);
    }
    if (report.mayOmitCompletions) {
      this.#context.metrics.count("reports_truncated");
    }
    this.#runs.markAbsent(worker, {
      evidence: { type: "report", requestedMs: sentMs, report },
      reason: "notThere",
    });
    if (report.completions.length > 0) this.#context.requestPass();
    if (numbers.length > 0) this.#acknowledgeOnceSaved(worker, changedJobs);
  }

  /**
   * Acknowledges completions in their order, each once the store has recorded
   * its job.
   */
  #acknowledgeOnceSaved(worker: FleetWorker, changedJobs: Iterable<Job>): void {
    const upTo = worker.applied;
    const processStartMs = worker.processStartMs;
    // The rest of a job often completes soon after, so the write may wait to
    // include it in the same transaction.
    const withinMs = this.#context.jobLog.completionDelayMs;
    const saves = [...changedJobs].map((job) =>
      saveJob(this.#context, job, isFinished(job) ? {} : { withinMs })
    );
    const previousSaves = worker.completionsSaved;
    worker.completionsSaved = Promise.all([previousSaves, ...saves]).then(
      ([, ...saved]) => {
        const allSaved = saved.every((one) => one === "saved");
        if (!allSaved || worker.processStartMs !== processStartMs) return;
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
    run.absenceProvableAfterMs ??= this.#context.clock.monotonic();
    if (reported.checkpoint !== "") run.task.checkpoint = reported.checkpoint;
    if (reported.percent > run.percent) {
      run.percent = reported.percent;
      run.lastProgressMs = this.#context.clock.monotonic();
    }
    this.#estimates.runReported(run);
    if (isFinished(run.step.job)) this.#runs.stop(run);
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
    const { workerClient, fence, log, isLeading } = this.#context;
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
      now - worker.reportRequestedMs > FORGET_DELAY_MS;
  }

  #logCompletion(
    worker: FleetWorker,
    { task, run, kind }: WorkerReport["completions"][number],
    figures: { readonly counted: boolean; readonly tookMs: number | undefined },
  ): void {
    const { log, fence } = this.#context;
    const identity = { task, run, worker: worker.id, fence, how: kind };
    log.info("run.end", { ...identity, ...figures });
  }
}

/** Outcome of a poll. */
type PollOutcome = "report" | "failed";

/**
 * Whether a report may be from a former process of a worker: it is from another
 * one than the current, and was requested before the current one was known. The
 * times at which the processes started tell nothing: a wall clock may be set
 * back.
 */
function isFromFormerProcess(
  { processStartMs, processSeenMs }: FleetWorker,
  report: WorkerReport,
  sentMs: number,
): boolean {
  return report.processStartMs !== processStartMs && sentMs < processSeenMs;
}
