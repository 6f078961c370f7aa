/**
 * Admission of submissions: when a submission is rejected, how long it waits
 * for the store, and when its client may retry.
 *
 * Load pattern: seconds in which the store is slow or unreachable. Without the
 * store nothing can be accepted, and every client resends each of its
 * submissions several times. An urgent submission has no time to wait for the
 * store. A submission with seconds of slack is better off waiting than using up
 * the retries of its client.
 *
 * @module
 */
import type { Queue } from "../types.ts";
import { queueDurationClass, TYPICAL_REQUEST_WORKERS } from "./channels.ts";
import type { JobTiming } from "./backlog_order.ts";

/**
 * Share of its slack that a submission waits for a store that does not respond.
 * The rest is left for the client's retries.
 */
const MAX_STORE_WAIT_SHARE = 0.1;
/**
 * Longest wait for a store that does not respond, milliseconds: a third of the
 * clients' response timeout.
 */
const MAX_STORE_WAIT_MS = 1_000;
/**
 * Time from the advice to the placement of a step, milliseconds: one scheduling
 * pass on a busy processor.
 */
const PLACEMENT_ALLOWANCE_MS = 25;
/**
 * Share of the time to settle that a submission may wait for its first advice.
 * The rest is left for its further steps and failed runs.
 */
const MAX_ADVICE_WAIT_SHARE = 0.5;
/** Retry delay for urgent clients, seconds. */
const URGENT_RETRY_DELAY_S = 1;
/**
 * Retry delay for other clients, seconds. It is longer, so that urgent clients,
 * who have a customer waiting at the counter, retry first.
 */
const DEFERRABLE_RETRY_DELAY_S = 2;

/**
 * Why a request was rejected without any effect. `noHolder`: the cell has no
 * leader. `canceled`: the job was canceled before its submission arrived.
 */
export type RejectionReason =
  | "noHolder"
  | "storeAway"
  | "overload"
  | "canceled";

/**
 * How long a submission waits for a store that does not respond, milliseconds.
 */
export function storeWaitMs({ slackMs }: JobTiming): number {
  return Math.min(MAX_STORE_WAIT_MS, MAX_STORE_WAIT_SHARE * slackMs);
}

/**
 * How long the first write of a submission is held back for its first task
 * starts, milliseconds; 0 if its queue needs no advice or slow advice.
 *
 * With quick advice, the submission and its first starts share one transaction:
 * while the store is slow, each further transaction could cost an urgent
 * submission its objective.
 */
export function firstStartWaitMs({ advice }: Queue): number {
  if (advice === undefined || queueDurationClass(advice) !== "quick") return 0;
  return advice.baseMs + TYPICAL_REQUEST_WORKERS * advice.perWorkerMs +
    PLACEMENT_ALLOWANCE_MS;
}

/**
 * Whether a submission is rejected on arrival. `stuckMs`: how long the store
 * has not responded, milliseconds.
 *
 * An outage is expected to last as long again as it has lasted so far. A
 * submission whose slack is shorter than that is rejected at once.
 */
export function isRejectedOnArrival(
  { slackMs }: JobTiming,
  stuckMs: number,
): boolean {
  return stuckMs > slackMs;
}

/**
 * Whether a submission is rejected since its queue's advice is overloaded.
 *
 * `adviceWaitMs`: how long it would wait for a channel. `settleMs`: the time
 * within which accepted work must be under way once no more arrives.
 */
export function isRejectedForAdvice(
  adviceWaitMs: number,
  settleMs: number,
): boolean {
  return adviceWaitMs > MAX_ADVICE_WAIT_SHARE * settleMs;
}

/**
 * Seconds after which the client of a rejected request may retry; `undefined`
 * if a retry would be rejected as well.
 */
export function retryAfterS(
  reason: RejectionReason,
  { priority }: Pick<Queue, "priority">,
): number | undefined {
  switch (reason) {
    case "canceled":
      return undefined;
    // Another instance becomes the leader within a second.
    case "noHolder":
      return URGENT_RETRY_DELAY_S;
    case "storeAway":
    case "overload":
      return priority === 0 ? URGENT_RETRY_DELAY_S : DEFERRABLE_RETRY_DELAY_S;
  }
}
