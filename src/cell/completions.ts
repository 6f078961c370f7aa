/**
 * Applies the completion of a run to its task, its job and its worker.
 *
 * @module
 */
import { type CellContext, queueOf } from "./context.ts";
import { acceptsRuns, type FleetWorker, type Run } from "./fleet.ts";
import type { EstimateUpdates } from "./estimate_updates.ts";
import { isFinished, type Job, type StepRun, type Task } from "./job.ts";
import { SpeedTerciles } from "./decisions/speed_terciles.ts";
import type { CompletionKind, ReportedCompletion } from "./ports.ts";
import type { Runs } from "./runs.ts";

/** Weight of a new completion in the failure share of a worker. */
const FAILURE_WEIGHT = 0.2;
/** A worker with a higher failure share is quarantined. */
const MAX_FAILURE_SHARE = 0.6;
/** A quarantined worker gets no new runs for this long. */
const QUARANTINE_MS = 3_000;
/**
 * No more workers of a service are quarantined once this share of them gets no
 * new runs.
 */
const MAX_QUARANTINED_SHARE = 0.25;

/** Applies the completions of runs. */
export class Completions {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #speedThirds: SpeedTerciles;
  readonly #estimates: EstimateUpdates;

  constructor(context: CellContext, runs: Runs, estimates: EstimateUpdates) {
    this.#context = context;
    this.#speedThirds = new SpeedTerciles(context.fleet);
    this.#runs = runs;
    this.#estimates = estimates;
  }

  /**
   * Applies a completion that a worker has reported. Returns the job if its
   * state has changed, otherwise `undefined`.
   */
  apply(worker: FleetWorker, completion: ReportedCompletion, found: {
    readonly step: StepRun;
    readonly task: Task;
  }): Job | undefined {
    const { step, task } = found;
    const run = worker.runs.get(task.id);
    const isCurrent = run !== undefined && run.number === completion.run;
    if (isCurrent) this.#context.fleet.removeRun(run);
    // A run that was declared lost too early still counts if no other run has
    // replaced it.
    const isLastRunOfWaitingTask = task.phase === "waiting" &&
      task.run === completion.run;
    // A former leader may have applied the completion without acknowledging it.
    const isNew = task.lastCompletedRun < completion.run;
    if (!isNew || !isCurrent && !isLastRunOfWaitingTask) return undefined;
    task.lastCompletedRun = completion.run;
    if (isCurrent) this.#recordOutcome(run, completion.kind);
    if (completion.checkpoint !== "") task.checkpoint = completion.checkpoint;
    this.#applyToTask(found, completion);
    return step.job;
  }

  #applyToTask(
    { step, task }: { readonly step: StepRun; readonly task: Task },
    completion: ReportedCompletion,
  ): void {
    // The first member to report completes the whole gang.
    if (task.phase === "done") return;
    const { job } = step;
    const attempts = queueOf(this.#context, job).attempts;
    if (completion.kind === "done" && !step.spec.longRunning) {
      const finished = step.spec.gang ? step.tasks : [task];
      for (const done of finished) this.#finishTask(step, done);
    } else {
      if (task.phase === "assigned") task.phase = "waiting";
      if (completion.kind === "failed" && !step.spec.longRunning) {
        const failures = countFailure(step, task, completion.run);
        if (failures >= attempts && !isFinished(job)) {
          this.#failJob(job, { task, failures, attempts });
        }
      }
    }
    if (step.remainingTasks === 0) this.#countFinishedOccurrences(step);
    if (job.failed) this.#runs.stopJob(job);
    this.#runs.reconcile(step);
  }

  /**
   * Marks a task as done and frees its capacity. All members of a gang end
   * together, so they are all finished when the first one reports.
   */
  #finishTask(step: StepRun, task: Task): void {
    const run = this.#context.fleet.workers.get(task.worker)?.runs.get(task.id);
    if (run !== undefined) this.#context.fleet.removeRun(run);
    if (task.phase === "done") return;
    task.phase = "done";
    step.remainingTasks--;
  }

  #failJob(
    job: Job,
    { task, failures, attempts }: {
      readonly task: Task;
      readonly failures: number;
      readonly attempts: number;
    },
  ): void {
    const { log, fence, set } = this.#context;
    job.failed = true;
    log.info("job.failed", {
      job: job.id,
      task: task.id,
      run: task.run,
      failures,
      attempts,
      set: set()?.version,
      fence,
    });
  }

  #countFinishedOccurrences(step: StepRun): void {
    const { job } = step;
    const steps = job.occurrences.get(step.occurrence) ?? [];
    if (steps.some((other) => other.remainingTasks > 0)) return;
    job.finishedOccurrences = [...job.occurrences.values()]
      .filter((all) => all.every((other) => other.remainingTasks === 0)).length;
  }

  #recordOutcome(run: Run, kind: CompletionKind): void {
    const { clock, metrics } = this.#context;
    const { worker, step } = run;
    metrics.count("runs_ended", { how: kind });
    this.#estimates.runCompleted(run, kind);
    if (kind === "done" && queueOf(this.#context, step.job).priority === 0) {
      const nowMs = clock.monotonic();
      const third = this.#speedThirds.of(worker, nowMs);
      metrics.observe("urgent_run_ms", nowMs - run.placedMs, { third });
    }
    if (kind !== "done" && kind !== "failed") return;
    const failed = kind === "failed" ? 1 : 0;
    worker.failureShare += FAILURE_WEIGHT * (failed - worker.failureShare);
    if (failed === 1 && worker.failureShare > MAX_FAILURE_SHARE) {
      this.#quarantine(worker);
    }
  }

  #quarantine(worker: FleetWorker): void {
    const { clock, fleet, log } = this.#context;
    const now = clock.monotonic();
    const service = worker.entry?.service;
    const others = [...fleet.workers.values()].filter((other) =>
      other !== worker && other.listed && other.entry?.service === service
    );
    // Work that only this service may run would have no worker left.
    if (!others.some((other) => acceptsRuns(other, now))) return;
    const avoided = others.filter((other) => other.avoidUntilMs > now).length;
    if (avoided >= (others.length + 1) * MAX_QUARANTINED_SHARE) return;
    worker.avoidUntilMs = now + QUARANTINE_MS;
    log.warn("worker.quarantined", {
      worker: worker.id,
      failureShare: worker.failureShare.toFixed(2),
      forMs: QUARANTINE_MS,
    });
  }
}

/**
 * Counts a failed run and returns the number of failures: of the whole gang, or
 * of the task.
 */
function countFailure(step: StepRun, task: Task, run: number): number {
  if (!step.spec.gang) return ++task.failures;
  if (run > step.lastFailedGangRun) {
    step.lastFailedGangRun = run;
    step.gangFailures++;
  }
  return step.gangFailures;
}
