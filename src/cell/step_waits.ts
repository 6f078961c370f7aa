/**
 * What a step has waited for since it could start, and how long for each.
 *
 * @module
 */
import type { NoPlace } from "./decisions/placement.ts";

/** `advice`: an answer or a free lane of the advice service. `turn`: no pass has looked at it yet. */
export type WaitReason = NoPlace | "advice" | "turn";

/** All reasons, in the order in which they are told. */
export const WAIT_REASONS: readonly WaitReason[] = [
  "turn",
  "advice",
  "noAdvice",
  "noRoom",
  "teamLimit",
  "limitHeadroom",
  "gangIncomplete",
];

/** The waits of one step. */
export class StepWaits {
  readonly #sums = new Map<WaitReason, number>();
  #reason: WaitReason = "turn";
  #sinceMs: number | undefined;

  /** What it waits for; `undefined` if it does not. */
  get reason(): WaitReason | undefined {
    return this.#sinceMs === undefined ? undefined : this.#reason;
  }

  /** How long it has waited for a reason, milliseconds. */
  waitedMs(reason: WaitReason, nowMs: number): number {
    const open = this.#sinceMs !== undefined && this.#reason === reason;
    return (this.#sums.get(reason) ?? 0) + (open ? nowMs - this.#sinceMs! : 0);
  }

  /** It may start. `nowMs`: monotonic milliseconds. */
  begin(nowMs: number): void {
    this.#sinceMs ??= nowMs;
  }

  /** A pass has found that it has to wait. */
  note(reason: WaitReason, nowMs: number): void {
    this.#add(nowMs);
    this.#reason = reason;
    this.#sinceMs = nowMs;
  }

  /** Ends the wait; gives the milliseconds for each reason, rounded, but those that are 0. */
  end(nowMs: number): ReadonlyMap<WaitReason, number> {
    this.#add(nowMs);
    const sums = new Map<WaitReason, number>();
    for (const [reason, sum] of this.#sums) {
      if (Math.round(sum) > 0) sums.set(reason, Math.round(sum));
    }
    this.#sums.clear();
    this.#reason = "turn";
    this.#sinceMs = undefined;
    return sums;
  }

  #add(nowMs: number): void {
    if (this.#sinceMs === undefined) return;
    const before = this.#sums.get(this.#reason) ?? 0;
    this.#sums.set(this.#reason, before + nowMs - this.#sinceMs);
  }
}
