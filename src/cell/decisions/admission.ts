/**
 * When a submission is turned away, when its client may come back, and what
 * its acceptance waits for.
 *
 * Load pattern: the seconds in which the store is slow or away. Nothing can be
 * accepted while it is away, and every client comes with all its submissions
 * again and again.
 *
 * @module
 */
import type { Queue } from "../types.ts";
import { paceOfQueue, TYPICAL_ASKED } from "./lanes.ts";

/** While the store does not answer a submission waits for this part of its queue's objective: a client that is told later is told late. */
const PATIENCE = 0.25;
/** Time that is left of that for the answer's way, milliseconds. */
const PATIENCE_MARGIN_MS = 20;
/** Longest such wait, milliseconds: clients come back after a second. */
const MAX_PATIENCE_MS = 600;
/** Time beside the advice until a step is placed, milliseconds: a pass over the line and a busy processor. */
const START_SLACK_MS = 25;
/** Urgent clients come back after this, seconds. */
const URGENT_RETRY_S = 1;
/** Other clients come back after this, seconds: those who wait at a counter go first. */
const DEFERRABLE_RETRY_S = 2;

/** Why nothing was done. */
export type RefusalReason = "noHolder" | "storeAway" | "overload";

/** How long a submission waits for a store that is silent, milliseconds. */
export function patienceMs({ objectiveMs }: Queue): number {
  const ownMs = PATIENCE * objectiveMs - PATIENCE_MARGIN_MS;
  return Math.min(MAX_PATIENCE_MS, Math.max(0, ownMs));
}

/**
 * How long the first write of a submission waits for its first starts,
 * milliseconds. Where advice is quick both share a transaction: while the store
 * is slow each further one would cost an urgent submission its objective.
 */
export function firstStartMs({ advice }: Queue): number {
  if (advice === undefined || paceOfQueue(advice) !== "quick") return 0;
  return advice.baseMs + TYPICAL_ASKED * advice.perWorkerMs + START_SLACK_MS;
}

/** Whether a submission is turned away as it comes: the store has been silent for longer than it would wait. */
export function isHopeless(queue: Queue, stuckMs: number): boolean {
  return stuckMs > 0 && stuckMs >= patienceMs(queue);
}

/** Seconds after which the client of a refused call may come back. */
export function retryAfterS(
  reason: RefusalReason,
  { priority }: Pick<Queue, "priority">,
): number {
  switch (reason) {
    // Another instance takes the cell within a second.
    case "noHolder":
      return URGENT_RETRY_S;
    case "storeAway":
    case "overload":
      return priority === 0 ? URGENT_RETRY_S : DEFERRABLE_RETRY_S;
  }
}
