/**
 * Updates the estimates of run times and worker speeds from running and
 * completed runs.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import type { RunOutcome } from "./decisions/run_times.ts";
import { isCold } from "./decisions/worker_ranking.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import type { StepRun } from "./job.ts";
import type { CompletionKind } from "./ports.ts";

/**
 * A gang counts only for the speed of its slowest member, and only if that one
 * is slower than the others by this factor.
 */
const CLEARLY_SLOWER_FACTOR = 1.1;

/** Part of the leader's context that the updates need. */
export type EstimateContext = Pick<
  CellContext,
  "clock" | "fleet" | "metrics" | "runTimes" | "workerSpeeds" | "forecasts"
>;

/** Passes completions and reports of one leader's runs on to the estimates. */
export class EstimateUpdates {
  readonly #context: EstimateContext;
  /**
   * Runs that were counted for the speed of their worker before their
   * completion.
   */
  readonly #speedRecorded = new WeakSet<Run>();

  constructor(context: EstimateContext) {
    this.#context = context;
  }

  /**
   * Records a completed run, before the other runs of its gang are removed from
   * their workers.
   */
  runCompleted(run: Run, kind: CompletionKind): void {
    const { clock, runTimes } = this.#context;
    const nowMs = clock.monotonic();
    if (run.startedMs === undefined || run.step.spec.longRunning) return;
    const slowest = this.#slowestWorkerOf(run);
    const { timeFactor } = slowest.worker;
    if (kind === "done" && run.task.checkpoint === "") {
      const durationMs = nowMs - run.placedMs;
      runTimes.recordDuration(run.step.job.queue, durationMs / timeFactor);
    }
    if (!run.fromScratch) return;
    const tookMs = nowMs - run.startedMs;
    if (kind !== "done") {
      return runTimes.recordOngoing(run, { elapsedMs: tookMs, timeFactor });
    }
    this.#recordForecast(run, { elapsedMs: tookMs, timeFactor });
    if (slowest.isClear) this.#recordSpeed(run, { ...slowest, tookMs, nowMs });
    runTimes.recordDone(run, { elapsedMs: tookMs, timeFactor });
  }

  /** Records a report that shows a run as running. */
  runReported(run: Run): void {
    const nowMs = this.#context.clock.monotonic();
    if (nowMs < run.nextReviewMs || run.startedMs === undefined) return;
    const { step } = run;
    if (!run.fromScratch || step.spec.longRunning || run.stopping) return;
    const { runTimes, workerSpeeds } = this.#context;
    const tookMs = nowMs - run.startedMs;
    const { worker } = this.#slowestWorkerOf(run);
    const { timeFactor } = worker;
    const { isOverdue: isLong, nextReviewMs: againMs } = runTimes.review(step, {
      elapsedMs: tookMs,
      timeFactor,
    });
    run.nextReviewMs = run.startedMs + againMs;
    if (!isLong) return;
    runTimes.recordOngoing(run, { elapsedMs: tookMs, timeFactor });
    const typicalMs = runTimes.typicalMs(step);
    if (typicalMs === undefined || isMultiTaskGang(step)) return;
    // Beyond this bound, a longer run time does not change the worker's
    // estimated speed.
    if (tookMs < typicalMs * workerSpeeds.maxInfluenceRatio(worker)) return;
    this.#recordSpeed(run, { worker, tookMs, nowMs });
    this.#speedRecorded.add(run);
  }

  /** Compares the actual run time with the forecast. */
  #recordForecast(
    { step }: Run,
    { elapsedMs: tookMs, timeFactor }: RunOutcome,
  ): void {
    const { runTimes, forecasts, metrics } = this.#context;
    const { queue } = step.job;
    const p50Ms = runTimes.expectedMs(step, 0.5) * timeFactor;
    const p90Ms = runTimes.expectedMs(step, 0.9) * timeFactor;
    forecasts.record(queue, { p50Ms, p90Ms, elapsedMs: tookMs });
    metrics.observe("run_time_over_forecast", tookMs / p50Ms, { queue });
  }

  #recordSpeed(
    run: Run,
    { worker, tookMs, nowMs }: {
      readonly worker: FleetWorker;
      readonly tookMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { runTimes, workerSpeeds } = this.#context;
    const typicalMs = runTimes.typicalMs(run.step);
    // Runs on a cold worker say nothing about its speed once it is warm.
    if (
      typicalMs === undefined || this.#speedRecorded.has(run) || isCold(worker)
    ) {
      return;
    }
    const job = run.step.job.id;
    workerSpeeds.record(worker, { elapsedMs: tookMs, typicalMs, job, nowMs });
  }

  /**
   * The worker that determines the run time: the run's own, or the slowest one
   * of its gang.
   */
  #slowestWorkerOf(run: Run): {
    readonly worker: FleetWorker;
    /** Whether the run time is evidence of that worker's speed alone. */
    readonly isClear: boolean;
  } {
    const { step } = run;
    if (!isMultiTaskGang(step)) {
      return { worker: run.worker, isClear: true };
    }
    const { fleet } = this.#context;
    let slowest = run.worker;
    let next = 0;
    for (const { worker: id } of step.tasks) {
      const worker = fleet.workers.get(id);
      if (worker === undefined || worker === slowest) continue;
      if (worker.timeFactor > slowest.timeFactor) {
        next = slowest.timeFactor;
        slowest = worker;
      } else next = Math.max(next, worker.timeFactor);
    }
    const isClear = slowest.timeFactor > CLEARLY_SLOWER_FACTOR * next;
    return { worker: slowest, isClear };
  }
}

/** Whether other workers of a gang also determine when the run ends. */
function isMultiTaskGang({ spec, tasks }: StepRun): boolean {
  return spec.gang && tasks.length > 1;
}
