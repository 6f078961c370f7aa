/**
 * Detects that the process was suspended.
 *
 * The monotonic clock may stop during a suspension, so that ages measured with
 * it are too low; the wall clock then runs ahead of it. A step of the wall clock
 * has the same effect.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Change of the offset between wall clock and monotonic clock that indicates a suspension, milliseconds. */
const MIN_SUSPENSION_MS = 700;

/** Wall clock minus monotonic clock, milliseconds. */
export function clockOffsetMs(clock: Clock): number {
  return clock.now().getTime() - clock.monotonic();
}

/** Whether the process was suspended since the clocks had this offset. */
export function wasSuspendedSince(clock: Clock, offsetMs: number): boolean {
  return Math.abs(clockOffsetMs(clock) - offsetMs) > MIN_SUSPENSION_MS;
}
