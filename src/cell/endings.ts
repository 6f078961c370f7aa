/**
 * What the end of a run means for its task, its job and its worker.
 *
 * @module
 */
import { type CellContext, queueOf } from "./context.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import type { Learning } from "./learning.ts";
import { isOver, type Job, type StepRun, type Task } from "./job.ts";
import { SpeedThirds } from "./decisions/speed_thirds.ts";
import type { EndingKind, ReportedEnd } from "./ports.ts";
import type { Runs } from "./runs.ts";

/** Weight of a new end in a worker's share of failures. */
const FAILURE_WEIGHT = 0.2;
/** A worker with a larger share of failures gets nothing for a while. */
const FAILURE_LIMIT = 0.6;
/** How long such a worker gets nothing, milliseconds. */
const QUARANTINE_MS = 3_000;
/** Most of the workers that may be left alone for their failures at once. */
const QUARANTINE_SHARE = 0.25;

/** Takes ends of runs. */
export class Endings {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #thirds: SpeedThirds;
  readonly #learning: Learning;

  constructor(context: CellContext, runs: Runs, learning: Learning) {
    this.#context = context;
    this.#thirds = new SpeedThirds(context.fleet);
    this.#runs = runs;
    this.#learning = learning;
  }

  /** Ends a run that its worker lists as ended; gives the job whose record has changed. */
  end(worker: FleetWorker, ended: ReportedEnd, found: {
    readonly step: StepRun;
    readonly task: Task;
  }): Job | undefined {
    const { step, task } = found;
    const run = worker.runs.get(task.id);
    const current = run !== undefined && run.number === ended.run;
    if (current) this.#context.fleet.release(run);
    // A run that was given up too early counts if nothing has replaced it.
    const mattersStill = task.phase === "waiting" && task.run === ended.run;
    // A former holder may have applied it without acknowledging it.
    const isNew = task.endedRun < ended.run;
    if (!isNew || !current && !mattersStill) return undefined;
    task.endedRun = ended.run;
    if (current) this.#learn(run, ended.kind);
    if (ended.checkpoint !== "") task.checkpoint = ended.checkpoint;
    this.#apply(found, ended);
    return step.job;
  }

  #apply(
    { step, task }: { readonly step: StepRun; readonly task: Task },
    ended: ReportedEnd,
  ): void {
    // The other members of a gang are done with the first that tells of it.
    if (task.phase === "done") return;
    const { job } = step;
    const attempts = queueOf(this.#context, job).attempts;
    if (ended.kind === "done" && !step.spec.longRunning) {
      const finished = step.spec.gang ? step.tasks : [task];
      for (const done of finished) this.#finish(step, done);
    } else {
      if (task.phase === "assigned") task.phase = "waiting";
      if (ended.kind === "failed" && !step.spec.longRunning) {
        const failures = countFailure(step, task, ended.run);
        if (failures >= attempts && !isOver(job)) {
          this.#fail(job, { task, failures, attempts });
        }
      }
    }
    if (step.left === 0) this.#finishStep(step);
    if (job.failed) this.#runs.stopJob(job);
    this.#runs.settle(step);
  }

  /** A gang ends everywhere at once: its members leave their room with the first that tells. */
  #finish(step: StepRun, task: Task): void {
    const run = this.#context.fleet.workers.get(task.worker)?.runs.get(task.id);
    if (run !== undefined) this.#context.fleet.release(run);
    if (task.phase === "done") return;
    task.phase = "done";
    step.left--;
  }

  #fail(
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
      set: set().version,
      fence,
    });
  }

  #finishStep(step: StepRun): void {
    const { job } = step;
    const steps = job.occurrences.get(step.occurrence) ?? [];
    if (steps.some((other) => other.left > 0)) return;
    job.finishedOccurrences = [...job.occurrences.values()]
      .filter((all) => all.every((other) => other.left === 0)).length;
  }

  #learn(run: Run, kind: EndingKind): void {
    const { clock, metrics } = this.#context;
    const { worker, step } = run;
    metrics.count("runs_ended", { how: kind });
    this.#learning.ended(run, kind);
    if (kind === "done" && queueOf(this.#context, step.job).priority === 0) {
      const nowMs = clock.monotonic();
      const third = this.#thirds.of(worker, nowMs);
      metrics.observe("urgent_run_ms", nowMs - run.placedMs, { third });
    }
    if (kind !== "done" && kind !== "failed") return;
    const failed = kind === "failed" ? 1 : 0;
    worker.failureShare += FAILURE_WEIGHT * (failed - worker.failureShare);
    if (failed === 1 && worker.failureShare > FAILURE_LIMIT) {
      this.#quarantine(worker);
    }
  }

  #quarantine(worker: FleetWorker): void {
    const { clock, fleet, log } = this.#context;
    const now = clock.monotonic();
    const all = [...fleet.workers.values()];
    const avoided = all.filter((other) => other.avoidUntilMs > now).length;
    if (avoided >= all.length * QUARANTINE_SHARE) return;
    worker.avoidUntilMs = now + QUARANTINE_MS;
    log.warn("worker.quarantined", {
      worker: worker.id,
      failureShare: worker.failureShare.toFixed(2),
      forMs: QUARANTINE_MS,
    });
  }
}

/** Counts a failed run: of the gang as a whole, or of its task. */
function countFailure(step: StepRun, task: Task, run: number): number {
  if (!step.spec.gang) return ++task.failures;
  if (run > step.gangFailedRun) {
    step.gangFailedRun = run;
    step.gangFailures++;
  }
  return step.gangFailures;
}
