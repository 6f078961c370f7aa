/**
 * When a submission is turned away, when its client may come back, and what
 * its acceptance waits for.
 *
 * Load pattern: the seconds in which the store is slow or away. Nothing can be
 * accepted while it is away, and every client comes with all its submissions
 * again and again, a few times each. An urgent submission has no time to wait
 * for the store; one with seconds to spare is better off if it waits than if it
 * uses up its client's tries.
 *
 * @module
 */
import type { Queue } from "../types.ts";
import { paceOfQueue, TYPICAL_ASKED } from "./lanes.ts";
import type { Timing } from "./order.ts";

/** While the store does not answer a submission waits for this part of the time that its work leaves it: the rest is for its client's next tries. */
const PATIENCE = 0.1;
/** Longest such wait, milliseconds: a third of what clients wait for an answer. */
const MAX_PATIENCE_MS = 1_000;
/** Time beside the advice until a step is placed, milliseconds: a pass over the line and a busy processor. */
const START_SLACK_MS = 25;
/** Urgent clients come back after this, seconds. */
const URGENT_RETRY_S = 1;
/** Other clients come back after this, seconds: those who wait at a counter go first. */
const DEFERRABLE_RETRY_S = 2;

/** Why nothing was done. */
export type RefusalReason = "noHolder" | "storeAway" | "overload";

/** How long a submission waits for a store that is silent, milliseconds. */
export function patienceMs({ spareMs }: Timing): number {
  return Math.min(MAX_PATIENCE_MS, PATIENCE * spareMs);
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

/**
 * Whether a submission is turned away as it comes. An outage that has lasted for
 * some time is expected to last as long again: what cannot wait so long is not
 * kept waiting.
 */
export function isHopeless({ spareMs }: Timing, stuckMs: number): boolean {
  return stuckMs > spareMs;
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
