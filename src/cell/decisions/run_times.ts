/**
 * How long runs are expected to take.
 *
 * Load pattern: submissions whose estimates are off by factors of two to three,
 * on workers of uneven speed. What decides over order, room and questions goes
 * by what finished runs took.
 *
 * @module
 */
import type { Run } from "../fleet.ts";
import type { StepRun } from "../job.ts";

/** Weight of a new duration in the running mean of a queue. */
const LEARNING_RATE = 0.1;

/** Run times learned from finished runs. */
export class RunTimes {
  readonly #means = new Map<string, number>();

  /** Records a run that was done. */
  learn(queue: string, durationMs: number): void {
    const mean = this.#means.get(queue);
    const next = mean === undefined
      ? durationMs
      : mean + LEARNING_RATE * (durationMs - mean);
    this.#means.set(queue, next);
  }

  /** Mean run time of a queue's tasks, milliseconds; the submitted estimate before the first run. */
  meanMs(queue: string, estimateMs: number): number {
    return this.#means.get(queue) ?? estimateMs;
  }

  /** Run time of a task of a step on an average worker that a `quantile` (0 to 1) of the runs do not exceed, milliseconds; the mean for every quantile until distributions are learned. */
  expectedMs({ job, spec }: StepRun, _quantile: number): number {
    return this.meanMs(job.queue, spec.estimateMs);
  }

  /** Time until a run is expected to end, milliseconds; by the progress that its worker reports where there is some. */
  remainingMs(run: Run, nowMs: number): number {
    const elapsedMs = nowMs - run.placedMs;
    if (run.percent > 0) {
      return elapsedMs * (100 - run.percent) / run.percent;
    }
    const { job, spec } = run.step;
    return Math.max(0, this.meanMs(job.queue, spec.estimateMs) - elapsedMs);
  }
}
