/**
 * Which workers are left alone for a while.
 *
 * Load pattern: some workers turn several times slower, or everything on them
 * stands still, while their health check is good. Every step that is placed
 * there is late, so they are found by the first tasks that hardly move on while
 * others of their step do: the tasks of a step are about equally long.
 *
 * @module
 */
import type { Fleet } from "../fleet.ts";

/** A run that is so many times slower than another of its step is on a slow worker: sound ones differ by less. */
const SLOW_TIMES = 3;
/** A run shows its pace after this time, milliseconds: reports come once a second. */
const TELLING_MS = 700;
/** Most of the workers that may be left alone at once: a fault of all is not theirs. */
const MOST_AVOIDED = 0.25;

/** How far a run has come. */
export interface Progress {
  /** Since the order was answered, milliseconds. */
  readonly elapsedMs: number;
  /** Part that is done, percent. */
  readonly percent: number;
}

/** Percent a millisecond; 0 before the first. */
export function paceOf({ elapsedMs, percent }: Progress): number {
  return elapsedMs <= 0 ? 0 : percent / elapsedMs;
}

/** Whether a run is so slow beside the best pace of its step that its worker must be the cause. */
export function isSlow(progress: Progress, bestPace: number): boolean {
  return progress.elapsedMs >= TELLING_MS && progress.percent < 100 &&
    SLOW_TIMES * paceOf(progress) < bestPace;
}

/** Whether one more worker may be left alone. `nowMs`: monotonic milliseconds. */
export function mayAvoidMore({ workers }: Fleet, nowMs: number): boolean {
  let avoided = 0;
  for (const { avoidUntilMs } of workers.values()) {
    if (avoidUntilMs > nowMs) avoided++;
  }
  return avoided < MOST_AVOIDED * workers.size;
}
