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
 * The run time of a gang is evidence only of the speed of its slowest worker,
 * and only if that worker is slower than the others by this factor.
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
  /** Runs that updated the speed of their worker before their completion. */
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
    const elapsedMs = nowMs - run.startedMs;
    if (kind !== "done") {
      return runTimes.recordOngoing(run, { elapsedMs, timeFactor });
    }
    this.#recordForecast(run, { elapsedMs, timeFactor });
    if (slowest.isClear) {
      this.#recordSpeed(run, { ...slowest, elapsedMs, nowMs });
    }
    runTimes.recordDone(run, { elapsedMs, timeFactor });
  }

  /** Records a report that shows a run as running. */
  runReported(run: Run): void {
    const nowMs = this.#context.clock.monotonic();
    if (nowMs < run.nextReviewMs || run.startedMs === undefined) return;
    const { step } = run;
    if (!run.fromScratch || step.spec.longRunning || run.stopping) return;
    const { runTimes, workerSpeeds } = this.#context;
    const elapsedMs = nowMs - run.startedMs;
    const { worker } = this.#slowestWorkerOf(run);
    const { timeFactor } = worker;
    const { isOverdue, nextReviewMs } = runTimes.review(step, {
      elapsedMs,
      timeFactor,
    });
    run.nextReviewMs = run.startedMs + nextReviewMs;
    if (!isOverdue) return;
    runTimes.recordOngoing(run, { elapsedMs, timeFactor });
    const typicalMs = runTimes.typicalMs(step);
    if (typicalMs === undefined || isMultiTaskGang(step)) return;
    // Beyond this bound, a longer run time does not change the worker's
    // estimated speed.
    if (elapsedMs < typicalMs * workerSpeeds.maxInfluenceRatio(worker)) return;
    this.#recordSpeed(run, { worker, elapsedMs, nowMs });
    this.#speedRecorded.add(run);
  }

  /** Compares the actual run time with the forecast. */
  #recordForecast(
    { step }: Run,
    { elapsedMs, timeFactor }: RunOutcome,
  ): void {
    const { runTimes, forecasts, metrics } = this.#context;
    const { queue } = step.job;
    const p50Ms = runTimes.expectedMs(step, 0.5) * timeFactor;
    const p90Ms = runTimes.expectedMs(step, 0.9) * timeFactor;
    forecasts.record(queue, { p50Ms, p90Ms, elapsedMs });
    metrics.observe("run_time_over_forecast", elapsedMs / p50Ms, { queue });
  }

  #recordSpeed(
    run: Run,
    { worker, elapsedMs, nowMs }: {
      readonly worker: FleetWorker;
      readonly elapsedMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { runTimes, workerSpeeds } = this.#context;
    const typicalMs = runTimes.typicalMs(run.step);
    // A run on a cold worker does not show how fast the worker is once it is warm.
    if (
      typicalMs === undefined || this.#speedRecorded.has(run) || isCold(worker)
    ) {
      return;
    }
    const job = run.step.job.id;
    workerSpeeds.record(worker, { elapsedMs, typicalMs, job, nowMs });
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
