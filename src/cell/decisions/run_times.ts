/**
 * Expected run times.
 *
 * Load pattern: submissions whose estimates are off by factors of two to three,
 * and run times with a long tail on workers of uneven speed. Scheduling order,
 * placement and advice requests are based on the run times of completed runs.
 *
 * Run times are learned per class: queue; queue and team; queue, team and shape
 * of the step. The narrowest class with enough runs is used.
 *
 * @module
 */
import type { Run } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import {
  bucketOf,
  Distribution,
  type DistributionSummary,
} from "./run_time_distribution.ts";

/** Weight of a new duration in the running mean of a queue. */
const MEAN_RATE = 0.1;
/**
 * Runs from which the class of a team or a shape is used. Its p90 then lies
 * within the observed run times.
 */
const MIN_CLASS_RUNS = 20;
/** Runs from which the class of a queue is used instead of the estimate. */
const MIN_QUEUE_RUNS = 5;
/** Most classes that are kept. */
const MAX_CLASSES = 2_000;
/** Weight of a new run in a team's mean estimate error. */
const ESTIMATE_ERROR_RATE = 0.05;
/**
 * Largest residual of one run in the mean estimate error, natural logarithm: a
 * factor of 3.
 */
const MAX_LOG_ERROR = 1.1;
/**
 * Spread of run times around a corrected estimate, natural logarithm: estimates
 * are off by factors of two.
 */
const ESTIMATE_SPREAD = 0.7;
/**
 * A run that is longer than expected is reviewed again when its elapsed time
 * has grown by this factor: two buckets of the distribution.
 */
const REVIEW_FACTOR = 1.4;
/**
 * Progress from which the remaining time of a run is computed from its
 * progress, percent. Below, the rounding error is too large.
 */
const MIN_PROGRESS_PERCENT = 5;

/** Run time of one run and the speed of its worker. */
export interface RunOutcome {
  /** Time on the worker so far or until the end, milliseconds. */
  readonly elapsedMs: number;
  /** Time factor of the worker; for a gang, of its slowest worker. */
  readonly timeFactor: number;
}

/** Summary of the learned run times, as stored. */
export interface RunTimesSummary {
  /** Mean duration by queue, milliseconds. */
  readonly means: readonly (readonly [queue: string, meanMs: number])[];
  /** Mean error of the estimates by team, natural logarithm. */
  readonly errors: readonly (readonly [team: string, error: number])[];
  readonly classes: readonly (readonly [
    key: string,
    summary: DistributionSummary,
  ])[];
}

/** Keys of the classes of a step, the narrowest first. */
type ClassKeys = readonly [shape: string, team: string, queue: string];

/** Run times learned from runs. */
export class RunTimes {
  readonly #means = new Map<string, number>();
  readonly #classes = new Map<string, RunTimeClass>();
  /** Mean error of the estimates by team, natural logarithm. */
  readonly #estimateErrors = new Map<string, number>();
  #recordedRuns = 0;
  readonly #keys = new WeakMap<StepRun, ClassKeys>();
  /**
   * Buckets that ongoing runs have already been recorded as passing. The
   * members of a gang count as one run.
   */
  readonly #passed = new WeakMap<Run | StepRun, PassedBuckets>();

  /**
   * Records the time from the placement to the completion of a successful run,
   * for the mean of its queue.
   */
  recordDuration(queue: string, durationMs: number): void {
    const mean = this.#means.get(queue);
    const next = mean === undefined
      ? durationMs
      : mean + MEAN_RATE * (durationMs - mean);
    this.#means.set(queue, next);
  }

  /** Number of completed runs recorded. */
  get recordedRuns(): number {
    return this.#recordedRuns;
  }

  /** Records a completed run that did its whole task. */
  recordDone(run: Run, { elapsedMs, timeFactor }: RunOutcome): void {
    this.#recordedRuns++;
    const normalMs = elapsedMs / timeFactor;
    const passed = this.#passedBy(run);
    this.#passed.delete(trackedUnit(run));
    for (const key of this.#keysOf(run.step)) {
      this.#getOrCreate(key).recordEnd(normalMs, passed);
    }
    this.#updateEstimateError(run.step, normalMs);
  }

  /**
   * Records the elapsed time of a run that is still running, or that ended
   * without completing its work.
   */
  recordOngoing(run: Run, { elapsedMs, timeFactor }: RunOutcome): void {
    const reached = bucketOf(elapsedMs / timeFactor);
    const passed = this.#passedBy(run);
    if (reached <= passed) return;
    this.#passed.set(trackedUnit(run), { run: run.number, bucket: reached });
    for (const key of this.#keysOf(run.step)) {
      this.#getOrCreate(key).recordPassed(passed, reached);
    }
  }

  /**
   * Whether an ongoing run has lasted longer than expected, and the elapsed
   * time at which to review it next, milliseconds.
   */
  review(step: StepRun, { elapsedMs, timeFactor }: RunOutcome): {
    readonly isOverdue: boolean;
    readonly nextReviewMs: number;
  } {
    const expectedMs = this.expectedMs(step, 0.5) * timeFactor;
    const isOverdue = elapsedMs > expectedMs;
    return {
      isOverdue,
      nextReviewMs: isOverdue ? elapsedMs * REVIEW_FACTOR : expectedMs,
    };
  }

  /**
   * Mean duration of a queue's tasks, milliseconds; the submitted estimate
   * before the first run.
   */
  meanMs(queue: string, estimateMs: number): number {
    return this.#means.get(queue) ?? estimateMs;
  }

  /**
   * Run time that a share `quantile` of the step's tasks does not exceed on an
   * average worker, milliseconds.
   */
  expectedMs(step: StepRun, quantile: number): number {
    const distribution = this.#distributionFor(step);
    if (distribution !== undefined) return distribution.quantileMs(quantile);
    return this.#estimateMs(step) *
      Math.exp(ESTIMATE_SPREAD * normalQuantile(quantile));
  }

  /**
   * Typical run time of a step's class on an average worker, milliseconds;
   * `undefined` while the class has few runs.
   */
  typicalMs(step: StepRun): number | undefined {
    const distribution = this.#distributionFor(step);
    return distribution === undefined || distribution.runs < MIN_CLASS_RUNS
      ? undefined
      : distribution.typicalMs;
  }

  /**
   * Expected remaining time of a run, milliseconds. It is computed from the
   * progress that the worker reports, if there is enough.
   */
  remainingMs(run: Run, nowMs: number): number {
    const { step, worker, percent } = run;
    const startedMs = run.startedMs ?? run.placedMs;
    const elapsedMs = Math.max(0, nowMs - startedMs);
    if (run.fromScratch && percent >= MIN_PROGRESS_PERCENT) {
      // The progress is as old as the report that contained it.
      const reportedMs = Math.max(0, run.lastProgressMs - startedMs);
      return Math.max(0, reportedMs * 100 / percent - elapsedMs);
    }
    const distribution = this.#distributionFor(step);
    const factor = worker.timeFactor;
    if (distribution !== undefined) {
      return distribution.remainingMs(elapsedMs / factor) * factor;
    }
    return Math.max(0, this.#estimateMs(step) * factor - elapsedMs);
  }

  /**
   * Summary of what has been learned, with at most `maxClasses` classes, those
   * with the most runs first.
   */
  summarize(maxClasses: number): RunTimesSummary {
    const known = [...this.#classes]
      .map(([key, { distribution }]) => ({ key, distribution }))
      .filter(({ distribution }) => distribution.runs >= MIN_QUEUE_RUNS)
      .sort((a, b) => b.distribution.runs - a.distribution.runs);
    return {
      means: [...this.#means],
      errors: [...this.#estimateErrors],
      classes: known.slice(0, maxClasses)
        .map(({ key, distribution }) => [key, distribution.summarize()]),
    };
  }

  /** Restores what a former leader has learned. */
  restore({ means, errors, classes }: RunTimesSummary): void {
    for (const [queue, meanMs] of means) this.#means.set(queue, meanMs);
    for (const [team, error] of errors) this.#estimateErrors.set(team, error);
    for (const [key, stored] of classes) this.#getOrCreate(key).restore(stored);
  }

  /** Number of classes that are kept. */
  get classes(): number {
    return this.#classes.size;
  }

  #passedBy(run: Run): number {
    const passed = this.#passed.get(trackedUnit(run));
    return passed?.run === run.number ? passed.bucket : 0;
  }

  #estimateMs({ job, spec }: StepRun): number {
    return spec.estimateMs * Math.exp(this.#estimateErrors.get(job.team) ?? 0);
  }

  #updateEstimateError({ job, spec }: StepRun, normalMs: number): void {
    if (spec.estimateMs <= 0) return;
    const previous = this.#estimateErrors.get(job.team) ?? 0;
    const error = Math.log(Math.max(normalMs, 1) / spec.estimateMs);
    const residual = Math.min(
      MAX_LOG_ERROR,
      Math.max(-MAX_LOG_ERROR, error - previous),
    );
    this.#estimateErrors.set(
      job.team,
      previous + ESTIMATE_ERROR_RATE * residual,
    );
  }

  #distributionFor(step: StepRun): Distribution | undefined {
    const [shape, team, queue] = this.#keysOf(step);
    return this.#distributionWith(shape, MIN_CLASS_RUNS) ??
      this.#distributionWith(team, MIN_CLASS_RUNS) ??
      this.#distributionWith(queue, MIN_QUEUE_RUNS);
  }

  #distributionWith(key: string, runs: number): Distribution | undefined {
    const found = this.#classes.get(key)?.distribution;
    return found !== undefined && found.runs >= runs ? found : undefined;
  }

  #getOrCreate(key: string): Distribution {
    const existing = this.#classes.get(key);
    if (existing !== undefined) {
      existing.used = true;
      return existing.distribution;
    }
    if (this.#classes.size >= MAX_CLASSES) this.#evictIdle();
    const created = { distribution: new Distribution(), used: true };
    this.#classes.set(key, created);
    return created.distribution;
  }

  /**
   * Evicts a class that was not used since the last scan over all classes
   * (second-chance eviction).
   */
  #evictIdle(): void {
    for (const [key, entry] of this.#classes) {
      this.#classes.delete(key);
      if (!entry.used) return;
      entry.used = false;
      this.#classes.set(key, entry);
    }
  }

  #keysOf(step: StepRun): ClassKeys {
    const cached = this.#keys.get(step);
    if (cached !== undefined) return cached;
    const { queue, team } = step.job;
    const teamKey = `${queue} ${team}`;
    const keys = [`${teamKey} ${shapeKey(step)}`, teamKey, queue] as const;
    this.#keys.set(step, keys);
    return keys;
  }
}

/** A class and whether it was used since the last eviction scan. */
interface RunTimeClass {
  readonly distribution: Distribution;
  used: boolean;
}

/**
 * First bucket that a run has not been recorded as passing. `run` is the run
 * number, which distinguishes successive runs of a gang.
 */
interface PassedBuckets {
  readonly run: number;
  readonly bucket: number;
}

/**
 * Key under which an ongoing run is tracked: the run, or the step for all
 * members of a gang.
 */
function trackedUnit(run: Run): Run | StepRun {
  return run.step.spec.gang ? run.step : run;
}

/**
 * Shape of a step: steps of a queue and team are alike if they have the same
 * index, and the same size up to a factor of two.
 */
function shapeKey({ index, spec }: StepRun): string {
  const size = Math.round(Math.log2(Math.max(1, spec.tasks)));
  const cores = Math.round(Math.log2(Math.max(1, spec.amounts.cpuMillis)));
  return `${index}.${size}.${cores}${spec.gang ? ".g" : ""}`;
}

/**
 * Quantile of the standard normal distribution, accurate to 0.01; the logistic
 * approximation.
 */
function normalQuantile(quantile: number): number {
  const inside = Math.min(0.999, Math.max(0.001, quantile));
  return Math.log(inside / (1 - inside)) / 1.702;
}
