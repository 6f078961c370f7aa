/**
 * Records why a step has waited since it could start, and for how long.
 *
 * @module
 */
import type { NoPlacementReason } from "./decisions/placement.ts";

/**
 * Reason of a wait. `advice`: waits for an advice response or a free channel.
 * `turn`: no scheduling pass has looked at the step yet.
 */
export type WaitReason = NoPlacementReason | "advice" | "turn";

/** All reasons, in the order in which they are logged. */
export const WAIT_REASONS: readonly WaitReason[] = [
  "turn",
  "advice",
  "noAdvice",
  "noRoom",
  "teamLimit",
  "limitHeadroom",
  "gangIncomplete",
];

/** Waiting times of one step by reason. */
export class StepWaits {
  readonly #sums = new Map<WaitReason, number>();
  #currentReason: WaitReason = "turn";
  #sinceMs: number | undefined;

  /** Reason of the current wait; `undefined` if the step does not wait. */
  get reason(): WaitReason | undefined {
    return this.#sinceMs === undefined ? undefined : this.#currentReason;
  }

  /** Total time that the step has waited for a reason, milliseconds. */
  waitedMs(reason: WaitReason, nowMs: number): number {
    const open = this.#sinceMs !== undefined && this.#currentReason === reason;
    return (this.#sums.get(reason) ?? 0) + (open ? nowMs - this.#sinceMs! : 0);
  }

  /**
   * Begins a wait; without effect if one has begun. `nowMs`: monotonic
   * milliseconds.
   */
  begin(nowMs: number): void {
    this.#sinceMs ??= nowMs;
  }

  /**
   * Sets the reason from now on, after a scheduling pass could not place the
   * step.
   */
  note(reason: WaitReason, nowMs: number): void {
    this.#addElapsed(nowMs);
    this.#currentReason = reason;
    this.#sinceMs = nowMs;
  }

  /**
   * Ends the wait. Returns the rounded milliseconds by reason, leaving out
   * those that round to 0.
   */
  end(nowMs: number): ReadonlyMap<WaitReason, number> {
    this.#addElapsed(nowMs);
    const sums = new Map<WaitReason, number>();
    for (const [reason, sum] of this.#sums) {
      if (Math.round(sum) > 0) sums.set(reason, Math.round(sum));
    }
    this.#sums.clear();
    this.#currentReason = "turn";
    this.#sinceMs = undefined;
    return sums;
  }

  #addElapsed(nowMs: number): void {
    if (this.#sinceMs === undefined) return;
    const before = this.#sums.get(this.#currentReason) ?? 0;
    this.#sums.set(this.#currentReason, before + nowMs - this.#sinceMs);
  }
}
