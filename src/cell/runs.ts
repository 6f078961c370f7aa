/**
 * Lifecycle of a run until its completion: recorded in the store, started,
 * stopped, or declared lost.
 *
 * @module
 */
import {
  type CellContext,
  endTermOnFailure,
  queueOf,
  saveJob,
  updateBacklog,
  updateBacklogOfJob,
} from "./context.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import { dueMs, isFinished, type Job, type StepRun } from "./job.ts";
import type { Placement } from "./decisions/placement.ts";
import { timeFactorOf } from "./decisions/worker_ranking.ts";
import type { StartResponse } from "./ports.ts";
import { findBarredRuns } from "./decisions/barred_runs.ts";
import { type Evidence, findAbsentRuns } from "./decisions/run_absence.ts";
import { isActive, retryStart, sendStart } from "./start_retry.ts";
import {
  addressOf,
  gangCheckpoint,
  hasClockRestarted,
  leaseBoundMs,
  newRun,
} from "./run.ts";

/**
 * Leases are this much shorter than the maximum, to cover the time between the
 * clock reading and the request.
 */
const LEASE_MARGIN_MS = 50;
/**
 * Delay before a stop request is repeated if it was not confirmed or had no
 * visible effect.
 */
const STOP_RETRY_DELAY_MS = 400;
/**
 * Delay from the confirmation of a stop to the request for a report that proves
 * the absence of the run: the resolution of a coarse clock.
 */
const MIN_PROOF_DELAY_MS = 1;
/**
 * A worker that could not be reached or rejected a start, for instance as
 * unhealthy, gets no new runs for this long.
 */
const UNAVAILABLE_COOLDOWN_MS = 700;
/**
 * A run without progress for this long is stopped and started elsewhere,
 * although its worker responds.
 */
const STALL_TIMEOUT_MS = 3_000;
/** The worker of a stalled run gets no new runs for this long. */
const STALL_COOLDOWN_MS = 5_000;

/**
 * Polls a worker at once. Used for a run whose start request got no response.
 */
export type PollNow = (worker: FleetWorker) => Promise<unknown>;

/** Starts and stops the runs of one leader. */
export class Runs {
  readonly #context: CellContext;
  readonly #pollNow: PollNow;

  constructor(context: CellContext, pollNow: PollNow) {
    this.#context = context;
    this.#pollNow = pollNow;
  }

  /**
   * Reserves capacity for the placements, records them in the store, then sends
   * the start requests.
   */
  start(step: StepRun, places: readonly Placement[]): void {
    const { clock, fleet, evacuations } = this.#context;
    const gangRun = 1 + Math.max(...step.tasks.map((task) => task.run));
    const checkpoint = step.spec.gang ? gangCheckpoint(step) : undefined;
    const runs = places.map(({ task, worker, ticket }) => {
      task.run = step.spec.gang ? gangRun : task.run + 1;
      task.phase = "assigned";
      task.worker = worker.id;
      if (checkpoint !== undefined) task.checkpoint = checkpoint;
      const run = newRun(step, { task, worker, nowMs: clock.monotonic() });
      fleet.addRun(run);
      return { run, ticket };
    });
    this.#markStarted(step.job);
    updateBacklog(this.#context, step);
    void endTermOnFailure(this.#context, "start of runs", async () => {
      if (await saveJob(this.#context, step.job) !== "saved") return;
      // Zones may have been evacuated while the start was being recorded.
      const recorded = runs.map(({ run }) => run);
      const { barred, reason } = findBarredRuns(recorded, evacuations);
      for (const run of barred) this.markLost(run, reason);
      await Promise.all(
        runs.map(({ run, ticket }) => this.#sendStart(run, ticket)),
      );
    });
  }

  /**
   * Asks the worker to stop a run. The request is repeated until a report shows
   * that the run has ended.
   */
  stop(run: Run): void {
    const { clock, workerClient, fence, isLeading } = this.#context;
    const now = clock.monotonic();
    run.stopping = true;
    if (run.stopSentMs + STOP_RETRY_DELAY_MS > now || !isLeading()) return;
    run.stopSentMs = now;
    const address = addressOf(run.worker);
    if (address === undefined) return;
    const request = { task: run.task.id, run: run.number, fence };
    workerClient.stop(address, request).then((confirmed) => {
      if (confirmed) this.#recordStopped(run);
      else run.stopSentMs = clock.monotonic() - STOP_RETRY_DELAY_MS / 2;
    });
  }

  /**
   * After a confirmed stop the worker rejects a start of this run, so a report
   * without the run proves that it is not there. The worker is asked for it: if
   * the run is not there, no completion ends the wait of a poll.
   */
  #recordStopped(run: Run): void {
    if (run.absenceProvableAfterMs !== undefined) return;
    run.absenceProvableAfterMs = this.#context.clock.monotonic();
    // A report that proves it must be requested later.
    this.#context.clock.after(MIN_PROOF_DELAY_MS, () => {
      if (run.worker.runs.get(run.task.id) === run) {
        void this.#pollNow(run.worker);
      }
    });
  }

  /**
   * Declares a run lost that is not on its worker and will not start there. Its
   * task waits for a new placement.
   */
  markLost(run: Run, reason: string): void {
    const { fleet, log, metrics, fence, clock } = this.#context;
    if (!fleet.removeRun(run)) return;
    const { task, step, worker } = run;
    log.info("run.lost", {
      job: step.job.id,
      task: task.id,
      run: run.number,
      worker: worker.id,
      fence,
      reason,
      reachable: worker.reachable,
      leaseLeftMs: Math.round(worker.leaseBoundMs - clock.monotonic()),
    });
    metrics.count("runs_lost", { reason });
    if (task.phase !== "assigned" || task.run !== run.number) return;
    task.phase = "waiting";
    this.reconcile(step);
  }

  #markStarted(job: Job): void {
    if (job.hasStarted) return;
    job.hasStarted = true;
    const { clock, metrics } = this.#context;
    const waitedMs = clock.now().getTime() - dueMs(job, 0);
    metrics.observe("first_start_ms", waitedMs, { queue: job.queue });
  }

  /** Declares the runs of a worker lost that are certainly not on it. */
  markAbsent(worker: FleetWorker, { evidence, reason }: {
    readonly evidence: Evidence;
    readonly reason: string;
  }): void {
    for (const run of findAbsentRuns(worker, evidence)) {
      this.markLost(run, reason);
    }
  }

  /** Stops the remaining runs of a job that has ended. */
  stopJob(job: Job): void {
    for (const worker of this.#context.fleet.workers.values()) {
      for (const run of worker.runs.values()) {
        if (run.step.job === job) this.stop(run);
      }
    }
  }

  /**
   * Removes a job that was not accepted from the backlog and frees its
   * capacity.
   */
  discardJob(job: Job): void {
    const { fleet, backlog } = this.#context;
    for (const step of [...job.occurrences.values()].flat()) {
      backlog.delete(step);
      for (const task of step.tasks) {
        const run = fleet.workers.get(task.worker)?.runs.get(task.id);
        if (run !== undefined) fleet.removeRun(run);
      }
    }
    this.#context.requestPass();
  }

  /**
   * Stops the remaining runs of a step if it is an incomplete gang: a gang runs
   * as a whole or not at all.
   */
  stopIfIncomplete(step: StepRun): void {
    if (!step.spec.gang || step.remainingTasks === 0) return;
    const isIncomplete = step.tasks.some((task) => task.phase === "waiting");
    if (isIncomplete) this.#stopAssignedTasks(step);
  }

  /** Updates the backlog and the runs of a gang after a change of a step. */
  reconcile(step: StepRun): void {
    this.stopIfIncomplete(step);
    updateBacklogOfJob(this.#context, step.job);
    this.#context.requestPass();
  }

  /**
   * Repeats stop requests that had no effect, stops stalled runs, and declares
   * runs lost whose lease has expired.
   */
  tick(): void {
    const now = this.#context.clock.monotonic();
    for (const worker of this.#context.fleet.workers.values()) {
      this.markAbsent(worker, {
        evidence: { type: "time", nowMs: now },
        reason: "leaseEnded",
      });
      for (const run of worker.runs.values()) {
        if (run.stopping) this.stop(run);
        else if (this.#isStalled(run, now)) this.#stopStalled(run);
      }
    }
  }

  /**
   * Grants a lease: returns its end on the worker's clock, milliseconds, and
   * records the latest time at which it ends on the local clock. Returns
   * `undefined` if the worker's clock is not known.
   */
  grantLease(worker: FleetWorker): number | undefined {
    const { clock, maxLeaseMs } = this.#context;
    if (worker.clockOffsetMs === undefined) return undefined;
    const now = clock.monotonic();
    const boundMs = now + leaseBoundMs(maxLeaseMs);
    worker.leaseBoundMs = Math.max(worker.leaseBoundMs, boundMs);
    return now + worker.clockOffsetMs + maxLeaseMs - LEASE_MARGIN_MS;
  }

  /**
   * Whether a run makes no progress although its worker reports. Long-running
   * tasks never stall, and finished runs stay at 100 percent.
   */
  #isStalled(run: Run, nowMs: number): boolean {
    const { worker, step } = run;
    if (!run.seen || !worker.reachable || step.spec.longRunning) return false;
    if (run.percent >= 100) return false;
    return nowMs - run.lastProgressMs > STALL_TIMEOUT_MS &&
      worker.reportRequestedMs > run.lastProgressMs;
  }

  #stopStalled(run: Run): void {
    const { clock, log, metrics, fence } = this.#context;
    const now = clock.monotonic();
    log.warn("run.stalled", {
      job: run.step.job.id,
      task: run.task.id,
      run: run.number,
      worker: run.worker.id,
      fence,
      percent: run.percent,
      stillMs: Math.round(now - run.lastProgressMs),
    });
    metrics.count("runs_stalled");
    run.worker.avoidUntilMs = now + STALL_COOLDOWN_MS;
    this.stop(run);
  }

  async #sendStart(run: Run, ticket: string | undefined): Promise<void> {
    const { clock, fence, isLeading } = this.#context;
    const { step, task, worker } = run;
    const address = addressOf(worker);
    // A run that is to be stopped has not reached its worker either, which thus
    // has no part in its end.
    const isStartable = isActive(run) && !isFinished(step.job) && isLeading();
    if (!isStartable || address === undefined) {
      return this.markLost(run, "notOrdered");
    }
    const sentMs = clock.monotonic();
    const ticketMs = queueOf(this.#context, step.job).advice?.ticketMs;
    if (ticketMs !== undefined && sentMs - run.placedMs > ticketMs) {
      return this.markLost(run, "ticketExpired");
    }
    // Granted only after all other checks: it counts as a renewal that the
    // worker may receive.
    const leaseUntilMs = this.grantLease(worker);
    if (leaseUntilMs === undefined) return this.markLost(run, "notOrdered");
    const request = {
      task: task.id,
      run: run.number,
      spec: step.job.spec.payload,
      leaseUntilMs,
      fence,
      checkpoint: task.checkpoint,
      ...(ticket === undefined ? {} : { ticket }),
    };
    // The completion of the run may be reported before this response arrives.
    run.startedMs = sentMs;
    run.startUnanswered = true;
    const start = () => sendStart(this.#context, address, request);
    const firstResponse = await start();
    run.startUnanswered = firstResponse.type === "unknown";
    // The request and the response take about the same time, so the start is in
    // the middle. The time of receipt alone is late if this process is busy.
    run.startedMs = firstResponse.type === "started"
      ? (sentMs + clock.monotonic()) / 2
      // The start may be carried out at any later time, so the run time will
      // not be known.
      : undefined;
    const response = firstResponse.type === "unknown"
      ? await retryStart(this.#context, { run, start })
      : firstResponse;
    this.#logStart(run, response, sentMs);
    this.#handleStartResponse(run, response, sentMs);
  }

  #handleStartResponse(
    run: Run,
    response: StartResponse,
    sentMs: number,
  ): void {
    const { clock, stepDown } = this.#context;
    const now = clock.monotonic();
    const { worker, step } = run;
    switch (response.type) {
      case "started":
        run.absenceProvableAfterMs ??= now;
        this.#detectRestart(worker, { clockMs: response.clockMs, sentMs });
        if (run.stopping || isFinished(step.job)) this.stop(run);
        return;
      case "unreached":
        worker.avoidUntilMs = now + UNAVAILABLE_COOLDOWN_MS;
        return this.markLost(run, "unreached");
      case "unknown":
        worker.avoidUntilMs = now + UNAVAILABLE_COOLDOWN_MS;
        void endTermOnFailure(
          this.#context,
          "start of runs",
          () => this.#resolveUnknownStart(run),
        );
        return;
      case "rejected":
        if (response.reason === "fenced") return stepDown("fenced by a worker");
        if (response.reason === "ticket") step.advice.tickets.delete(worker.id);
        else worker.avoidUntilMs = now + UNAVAILABLE_COOLDOWN_MS;
        if (response.reason === "tooLate") worker.clockOffsetMs = undefined;
        return this.markLost(run, response.reason);
    }
  }

  /**
   * Takes a restarted worker for unreachable until its next report: an
   * acknowledgment for its former process would discard completions of the new
   * one.
   */
  #detectRestart(
    worker: FleetWorker,
    { clockMs, sentMs }: {
      readonly clockMs: number | undefined;
      readonly sentMs: number;
    },
  ): void {
    if (clockMs === undefined) return;
    if (!hasClockRestarted(worker, { clockMs, sentMs })) return;
    const { log, fence } = this.#context;
    log.warn("worker.clockRestarted", { worker: worker.id, fence, clockMs });
    worker.reachable = false;
    worker.clockOffsetMs = undefined;
  }

  /**
   * Polls the worker to find out whether a start without a response was carried
   * out. If it was not, a stop request makes the worker reject it later.
   */
  async #resolveUnknownStart(run: Run): Promise<void> {
    await this.#pollNow(run.worker);
    const onWorker = run.worker.runs.get(run.task.id) === run;
    if (!onWorker || run.seen) return;
    this.stop(run);
  }

  #stopAssignedTasks(step: StepRun): void {
    for (const task of step.tasks) {
      if (task.phase !== "assigned") continue;
      const run = this.#context.fleet.workers.get(task.worker)?.runs
        .get(task.id);
      if (run !== undefined) this.stop(run);
    }
  }

  #logStart(run: Run, response: StartResponse, sentMs: number): void {
    const { log, metrics, clock, fence, runTimes } = this.#context;
    const timeFactor = timeFactorOf(run.worker);
    const outcome = response.type === "rejected"
      ? response.reason
      : response.type;
    const now = clock.monotonic();
    metrics.count("starts", { outcome });
    metrics.observe("start_ms", now - sentMs);
    log.info("run.start", {
      job: run.step.job.id,
      task: run.task.id,
      run: run.number,
      worker: run.worker.id,
      fence,
      reportAgeMs: Math.round(now - run.worker.reportRequestedMs),
      tookMs: Math.round(now - sentMs),
      timeFactor: timeFactor.toFixed(2),
      expectedMs: Math.round(runTimes.expectedMs(run.step, 0.5) * timeFactor),
      outcome,
    });
  }
}
