/**
 * What runs teach about run times and about the speeds of workers.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import type { RunOutcome } from "./decisions/run_times.ts";
import { isCold } from "./decisions/worker_choice.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import type { StepRun } from "./job.ts";
import type { EndingKind } from "./ports.ts";

/** A gang teaches about its slowest member alone, and only if that is slower than the others by this factor. */
const CLEARLY_SLOWEST = 1.1;

/** What learning needs of a holder. */
export type LearningContext = Pick<
  CellContext,
  "clock" | "fleet" | "metrics" | "runTimes" | "workerSpeeds" | "forecasts"
>;

/** Passes on what ends and reports tell of the runs of one holder. */
export class Learning {
  readonly #context: LearningContext;
  /** Runs whose influence on the speed of their worker was complete before their end. */
  readonly #told = new WeakSet<Run>();

  constructor(context: LearningContext) {
    this.#context = context;
  }

  /** Takes the end of a run, before its gang gives its room back. */
  ended(run: Run, kind: EndingKind): void {
    const { clock, runTimes } = this.#context;
    const nowMs = clock.monotonic();
    if (run.startedMs === undefined || run.step.spec.longRunning) return;
    const slowest = this.#slowestOf(run);
    const { timeFactor } = slowest.worker;
    if (kind === "done" && run.task.checkpoint === "") {
      const durationMs = nowMs - run.placedMs;
      runTimes.learn(run.step.job.queue, durationMs / timeFactor);
    }
    if (!run.whole) return;
    const tookMs = nowMs - run.startedMs;
    if (kind !== "done") {
      return runTimes.learnLasting(run, { tookMs, timeFactor });
    }
    this.#compare(run, { tookMs, timeFactor });
    if (slowest.isClear) this.#tellSpeed(run, { ...slowest, tookMs, nowMs });
    runTimes.learnDone(run, { tookMs, timeFactor });
  }

  /** Takes a report that shows a run. */
  running(run: Run): void {
    const nowMs = this.#context.clock.monotonic();
    if (nowMs < run.reviewMs || run.startedMs === undefined) return;
    const { step } = run;
    if (!run.whole || step.spec.longRunning || run.stopping) return;
    const { runTimes, workerSpeeds } = this.#context;
    const tookMs = nowMs - run.startedMs;
    const { worker } = this.#slowestOf(run);
    const { timeFactor } = worker;
    const { isLong, againMs } = runTimes.review(step, { tookMs, timeFactor });
    run.reviewMs = run.startedMs + againMs;
    if (!isLong) return;
    runTimes.learnLasting(run, { tookMs, timeFactor });
    const typicalMs = runTimes.typicalMs(step);
    if (typicalMs === undefined || isShared(step)) return;
    // The rest of its time would not change what it tells of its worker.
    if (tookMs < typicalMs * workerSpeeds.boundOf(worker)) return;
    this.#tellSpeed(run, { worker, tookMs, nowMs });
    this.#told.add(run);
  }

  /** Compares a run with what was expected of it. */
  #compare({ step }: Run, { tookMs, timeFactor }: RunOutcome): void {
    const { runTimes, forecasts, metrics } = this.#context;
    const { queue } = step.job;
    const p50Ms = runTimes.expectedMs(step, 0.5) * timeFactor;
    const p90Ms = runTimes.expectedMs(step, 0.9) * timeFactor;
    forecasts.note(queue, { p50Ms, p90Ms, tookMs });
    metrics.observe("run_time_over_forecast", tookMs / p50Ms, { queue });
  }

  #tellSpeed(
    run: Run,
    { worker, tookMs, nowMs }: {
      readonly worker: FleetWorker;
      readonly tookMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { runTimes, workerSpeeds } = this.#context;
    const typicalMs = runTimes.typicalMs(run.step);
    // What a cold worker takes says nothing about the time after.
    if (typicalMs === undefined || this.#told.has(run) || isCold(worker)) {
      return;
    }
    const job = run.step.job.id;
    workerSpeeds.learn(worker, { tookMs, typicalMs, job, nowMs });
  }

  /** The worker that a run's time depends on: its own, or the slowest of its gang. */
  #slowestOf(run: Run): {
    readonly worker: FleetWorker;
    /** Whether the time tells of that worker alone. */
    readonly isClear: boolean;
  } {
    const { step } = run;
    if (!isShared(step)) {
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
    const isClear = slowest.timeFactor > CLEARLY_SLOWEST * next;
    return { worker: slowest, isClear };
  }
}

/** Whether other workers than its own decide when a run ends. */
function isShared({ spec, tasks }: StepRun): boolean {
  return spec.gang && tasks.length > 1;
}
