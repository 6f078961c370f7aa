/**
 * What a question for advice may cost, and when one may help.
 *
 * @module
 */
import type { NoPlace } from "./placement.ts";
import type { Queue } from "./types.ts";

/** Part of a call's constant cost that may go to asking about more workers than needed. */
const ASK_WIDELY = 0.25;
/** Most workers in a question; source: the platform's pages. */
export const MAX_ASKED = 100;

/** Workers that a call may name at little extra cost. */
export function cheaply(queue: Queue): number {
  if (queue.advice === undefined) return 0;
  const { baseMs, perWorkerMs } = queue.advice;
  return perWorkerMs === 0
    ? MAX_ASKED
    : Math.floor(ASK_WIDELY * baseMs / perWorkerMs);
}

/** Whether a verdict on more workers could bring a place. */
export function adviceMayHelp(reason: NoPlace | undefined): boolean {
  switch (reason) {
    case "noAdvice":
    case "gangIncomplete":
    case undefined:
      return true;
    case "noRoom":
    case "teamLimit":
      return false;
  }
}
