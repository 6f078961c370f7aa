/**
 * Why operations on deferred work fail, and the outcomes that callers receive
 * for failed submissions.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { AppendFailure, OpenFailure } from "../journal/failures.ts";
import type { Outcome } from "../types.ts";

/** Why a submission was not acknowledged. */
export type SubmitFailure =
  | AppendFailure
  | { readonly type: "unknownWorkload"; readonly message: string }
  | { readonly type: "badCount"; readonly message: string }
  /** This instance owns no journal segment. */
  | { readonly type: "noSegment"; readonly message: string }
  /** The idempotency key was already used for different work. */
  | { readonly type: "duplicateKey"; readonly message: string }
  /** The journal did not answer before the timeout; the work may have been accepted. */
  | { readonly type: "submitUnknown"; readonly message: string }
  | { readonly type: "stopping"; readonly message: string };

/** Why an attempt must not be started. */
export type StartFailure =
  | AppendFailure
  | NotHeld
  /** The task is cancelled, finished or parked, or has another attempt. */
  | { readonly type: "notWaiting"; readonly message: string };

/** Another instance owns the segment of the work item. */
export interface NotHeld {
  readonly type: "notHeld";
  readonly message: string;
  /** Journal segment whose owner the ownership map names. */
  readonly segment: string;
}

/** Why the outcome of an attempt was not journalled. */
export type CompletionFailure = AppendFailure | NotHeld;

/** Why a work item could not be found or cancelled. */
export type CancelFailure =
  | AppendFailure
  | NotHeld
  | { readonly type: "unknownWork"; readonly message: string };

/** Why a segment was not adopted. */
export type AdoptFailure = OpenFailure;

/** Maps a failed submission to the outcome that its caller receives. */
export function outcomeOfSubmitFailure(
  failure: SubmitFailure,
  request: { readonly workload: string; readonly queue: string },
): Outcome {
  switch (failure.type) {
    case "storeAway": {
      const { retryAfterMs } = failure;
      return { type: "notRun", reason: { type: "storeAway" }, retryAfterMs };
    }
    case "journalFull": {
      const { retryAfterMs } = failure;
      const reason = { type: "queueFull", queue: request.queue } as const;
      return { type: "notRun", reason, retryAfterMs };
    }
    case "recordsTooLarge": {
      const { limitBytes } = failure;
      return { type: "notRun", reason: { type: "tooLarge", limitBytes } };
    }
    case "unknownWorkload": {
      const { workload } = request;
      return { type: "notRun", reason: { type: "unknownWorkload", workload } };
    }
    case "badCount": {
      const detail = failure.message;
      return { type: "notRun", reason: { type: "badRequest", detail } };
    }
    case "duplicateKey":
      return { type: "notRun", reason: { type: "duplicateKey" } };
    case "segmentLost":
    case "noSegment":
      return notRun({ type: "noOwner" });
    case "segmentClosed":
    case "stopping":
      return notRun({ type: "stopping" });
    case "appendUnknown":
    case "submitUnknown":
      return { type: "unknown", reason: { type: "storeAway" } };
    default:
      return assertNever(failure);
  }
}

function notRun(
  reason: { readonly type: "noOwner" | "stopping" },
): Outcome {
  return {
    type: "notRun",
    reason,
    retryAfterMs: OTHER_INSTANCE_RETRY_DELAY_MS,
  };
}

/** Short, because another instance can accept the work immediately. Milliseconds. */
const OTHER_INSTANCE_RETRY_DELAY_MS = 100;

/** Returns the failure for work in a segment that this instance does not own. */
export function notHeld(segment: string): NotHeld {
  return {
    type: "notHeld",
    message: `this instance does not own segment ${segment}`,
    segment,
  };
}

/** Failure for an id that matches no work item of the team. */
export const unknownWork = {
  type: "unknownWork",
  message: "the work item does not exist",
} as const;
