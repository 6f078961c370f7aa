/**
 * How long runs are expected to take.
 *
 * Load pattern: submissions whose estimates are off by factors of two to three,
 * run times with a long tail, on workers of uneven speed. What decides over
 * order, room and questions goes by what finished runs took.
 *
 * Work is learned in classes: a queue, a team in it, and the shape of the step.
 * The narrowest class with enough runs is asked.
 *
 * @module
 */
import type { Run } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import {
  bucketOf,
  Distribution,
  type DistributionSketch,
} from "./run_time_distribution.ts";

/** Weight of a new duration in the running mean of a queue. */
const LEARNING_RATE = 0.1;
/** Runs from which a team's or a shape's class is asked: its p90 then lies among its runs. */
const ENOUGH_RUNS = 20;
/** Runs from which a queue's class is asked in place of the estimate. */
const ENOUGH_OF_QUEUE = 5;
/** Most classes that are kept. */
const MAX_CLASSES = 2_000;
/** Weight of a new run in a team's usual error of estimates. */
const ERROR_RATE = 0.05;
/** Largest error that one run shows, natural logarithm: a factor of 3. */
const MAX_ERROR = 1.1;
/** Spread of run times around a corrected estimate, natural logarithm: estimates are off by factors of two. */
const ESTIMATE_SPREAD = 0.7;
/** A run that is longer than expected is looked at again once it has lasted so many times as long: two buckets. */
const REVIEW_FACTOR = 1.4;
/** Progress from which a run's time is reckoned by it, percent: below, a rounded number is off by too much. */
const LEAST_PERCENT = 5;

/** What the end of a run tells. */
export interface RunOutcome {
  /** Time on its worker, milliseconds. */
  readonly tookMs: number;
  /** Time factor of its worker, of the slowest one for a gang. */
  readonly timeFactor: number;
}

/** Learned run times in few numbers. */
export interface RunTimesSketch {
  /** Mean of each queue, milliseconds. */
  readonly means: readonly (readonly [queue: string, meanMs: number])[];
  /** Usual error of each team's estimates, natural logarithm. */
  readonly errors: readonly (readonly [team: string, error: number])[];
  readonly classes: readonly (readonly [
    key: string,
    sketch: DistributionSketch,
  ])[];
}

/** Keys of the classes of a step, the narrowest first. */
type ClassKeys = readonly [shape: string, team: string, queue: string];

/** Run times learned from runs. */
export class RunTimes {
  readonly #means = new Map<string, number>();
  readonly #classes = new Map<string, LearnedClass>();
  /** Usual error of the estimates of teams, natural logarithm. */
  readonly #errors = new Map<string, number>();
  #learnedRuns = 0;
  readonly #keys = new WeakMap<StepRun, ClassKeys>();
  /** Buckets that runs which are still running have passed; a gang's members count once. */
  readonly #passed = new WeakMap<Run | StepRun, Passed>();

  /** Records the time from the decision to the end of a run that was done, for the mean of its queue. */
  learn(queue: string, durationMs: number): void {
    const mean = this.#means.get(queue);
    const next = mean === undefined
      ? durationMs
      : mean + LEARNING_RATE * (durationMs - mean);
    this.#means.set(queue, next);
  }

  /** Runs that were learned from. */
  get learnedRuns(): number {
    return this.#learnedRuns;
  }

  /** Records a run that did its whole task and is done. */
  learnDone(run: Run, { tookMs, timeFactor }: RunOutcome): void {
    this.#learnedRuns++;
    const normalMs = tookMs / timeFactor;
    const passed = this.#passedBy(run);
    this.#passed.delete(subjectOf(run));
    for (const key of this.#keysOf(run.step)) {
      this.#open(key).end(normalMs, passed);
    }
    this.#learnError(run.step, normalMs);
  }

  /** Records how long a run has lasted that is still running, or was ended by something else than its work. */
  learnLasting(run: Run, { tookMs, timeFactor }: RunOutcome): void {
    const reached = bucketOf(tookMs / timeFactor);
    const passed = this.#passedBy(run);
    if (reached <= passed) return;
    this.#passed.set(subjectOf(run), { run: run.number, bucket: reached });
    for (const key of this.#keysOf(run.step)) {
      this.#open(key).pass(passed, reached);
    }
  }

  /** Whether a run that still lasts is longer than expected, and the time on its worker at which to ask again, milliseconds. */
  review(step: StepRun, { tookMs, timeFactor }: RunOutcome): {
    readonly isLong: boolean;
    readonly againMs: number;
  } {
    const expectedMs = this.expectedMs(step, 0.5) * timeFactor;
    const isLong = tookMs > expectedMs;
    return { isLong, againMs: isLong ? tookMs * REVIEW_FACTOR : expectedMs };
  }

  /** Mean run time of a queue's tasks, milliseconds; the submitted estimate before the first run. */
  meanMs(queue: string, estimateMs: number): number {
    return this.#means.get(queue) ?? estimateMs;
  }

  /** Run time of a step's tasks on an average worker that a share `quantile` of them does not exceed, milliseconds. */
  expectedMs(step: StepRun, quantile: number): number {
    const learned = this.#classOf(step);
    if (learned !== undefined) return learned.quantileMs(quantile);
    return this.#estimateMs(step) *
      Math.exp(ESTIMATE_SPREAD * normalQuantile(quantile));
  }

  /** Typical run time of a step's class on an average worker, milliseconds; `undefined` while it has few runs. */
  typicalMs(step: StepRun): number | undefined {
    const learned = this.#classOf(step);
    return learned === undefined || learned.runs < ENOUGH_RUNS
      ? undefined
      : learned.typicalMs;
  }

  /** Time until a run is expected to end, milliseconds; by the progress that its worker reports where there is some. */
  remainingMs(run: Run, nowMs: number): number {
    const { step, worker, percent } = run;
    const startedMs = run.startedMs ?? run.placedMs;
    const elapsedMs = Math.max(0, nowMs - startedMs);
    if (run.whole && percent >= LEAST_PERCENT) {
      // The progress is as old as the report that showed it.
      const shownMs = Math.max(0, run.progressMs - startedMs);
      return Math.max(0, shownMs * 100 / percent - elapsedMs);
    }
    const learned = this.#classOf(step);
    const factor = worker.timeFactor;
    if (learned !== undefined) {
      return learned.remainingMs(elapsedMs / factor) * factor;
    }
    return Math.max(0, this.#estimateMs(step) * factor - elapsedMs);
  }

  /** What was learned in few numbers, with so many of the classes that know most. */
  sketch(mostClasses: number): RunTimesSketch {
    const known = [...this.#classes]
      .map(([key, { distribution }]) => ({ key, distribution }))
      .filter(({ distribution }) => distribution.runs >= ENOUGH_OF_QUEUE)
      .sort((a, b) => b.distribution.runs - a.distribution.runs);
    return {
      means: [...this.#means],
      errors: [...this.#errors],
      classes: known.slice(0, mostClasses)
        .map(({ key, distribution }) => [key, distribution.sketch()]),
    };
  }

  /** Takes what was learned before. */
  restore({ means, errors, classes }: RunTimesSketch): void {
    for (const [queue, meanMs] of means) this.#means.set(queue, meanMs);
    for (const [team, error] of errors) this.#errors.set(team, error);
    for (const [key, sketch] of classes) this.#open(key).restore(sketch);
  }

  /** Number of classes that are kept. */
  get classes(): number {
    return this.#classes.size;
  }

  #passedBy(run: Run): number {
    const passed = this.#passed.get(subjectOf(run));
    return passed?.run === run.number ? passed.bucket : 0;
  }

  #estimateMs({ job, spec }: StepRun): number {
    return spec.estimateMs * Math.exp(this.#errors.get(job.team) ?? 0);
  }

  #learnError({ job, spec }: StepRun, normalMs: number): void {
    if (spec.estimateMs <= 0) return;
    const before = this.#errors.get(job.team) ?? 0;
    const error = Math.log(Math.max(normalMs, 1) / spec.estimateMs);
    const surprise = Math.min(MAX_ERROR, Math.max(-MAX_ERROR, error - before));
    this.#errors.set(job.team, before + ERROR_RATE * surprise);
  }

  #classOf(step: StepRun): Distribution | undefined {
    const [shape, team, queue] = this.#keysOf(step);
    return this.#classWith(shape, ENOUGH_RUNS) ??
      this.#classWith(team, ENOUGH_RUNS) ??
      this.#classWith(queue, ENOUGH_OF_QUEUE);
  }

  #classWith(key: string, runs: number): Distribution | undefined {
    const found = this.#classes.get(key)?.distribution;
    return found !== undefined && found.runs >= runs ? found : undefined;
  }

  #open(key: string): Distribution {
    const known = this.#classes.get(key);
    if (known !== undefined) {
      known.used = true;
      return known.distribution;
    }
    if (this.#classes.size >= MAX_CLASSES) this.#evict();
    const made = { distribution: new Distribution(), used: true };
    this.#classes.set(key, made);
    return made.distribution;
  }

  /** Drops a class that has learned nothing since the last round over all of them. */
  #evict(): void {
    for (const [key, learned] of this.#classes) {
      this.#classes.delete(key);
      if (!learned.used) return;
      learned.used = false;
      this.#classes.set(key, learned);
    }
  }

  #keysOf(step: StepRun): ClassKeys {
    const known = this.#keys.get(step);
    if (known !== undefined) return known;
    const { queue, team } = step.job;
    const ofTeam = `${queue} ${team}`;
    const keys = [`${ofTeam} ${shapeOf(step)}`, ofTeam, queue] as const;
    this.#keys.set(step, keys);
    return keys;
  }
}

/** A class and whether it has learned something since the last round of evictions. */
interface LearnedClass {
  readonly distribution: Distribution;
  used: boolean;
}

/** First bucket that a run, or a gang's run of that number, has not passed. */
interface Passed {
  readonly run: number;
  readonly bucket: number;
}

/** What lasts as one: a run, or all members of a gang. */
function subjectOf(run: Run): Run | StepRun {
  return run.step.spec.gang ? run.step : run;
}

/** What makes steps of a queue and team alike: their place, and their size to a factor of two. */
function shapeOf({ index, spec }: StepRun): string {
  const size = Math.round(Math.log2(Math.max(1, spec.tasks)));
  const cores = Math.round(Math.log2(Math.max(1, spec.amounts.cpuMillis)));
  return `${index}.${size}.${cores}${spec.gang ? ".g" : ""}`;
}

/** Quantile of the standard normal distribution, to 0.01; the logistic approximation. */
function normalQuantile(quantile: number): number {
  const inside = Math.min(0.999, Math.max(0.001, quantile));
  return Math.log(inside / (1 - inside)) / 1.702;
}
