/**
 * Failures of the deferred work controller, and what a caller is told of them.
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
  /** No journal segment is held. */
  | { readonly type: "noSegment"; readonly message: string }
  /** The same key came with other work. */
  | { readonly type: "duplicateKey"; readonly message: string }
  /** The journal has not answered in time; the work may be accepted. */
  | { readonly type: "submitUnknown"; readonly message: string }
  | { readonly type: "stopping"; readonly message: string };

/** Why an attempt may not be started. */
export type StartFailure =
  | AppendFailure
  | NotHeld
  /** The task is cancelled, done, parked or has another attempt. */
  | { readonly type: "notWaiting"; readonly message: string };

/** Another instance holds the work. */
export interface NotHeld {
  readonly type: "notHeld";
  readonly message: string;
  /** Segment of the journal to look for in the ownership map. */
  readonly segment: string;
}

/** Why an ending was not written. */
export type EndFailure = AppendFailure | NotHeld;

/** Why work was not cancelled. */
export type CancelFailure =
  | AppendFailure
  | NotHeld
  | { readonly type: "unknownWork"; readonly message: string };

/** Why a segment was not adopted. */
export type AdoptFailure = OpenFailure;

/** What the caller of a submission that was not acknowledged is told. */
export function submitOutcome(
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
  return { type: "notRun", reason, retryAfterMs: ELSEWHERE_RETRY_MS };
}

/** Another instance can take the work at once. */
const ELSEWHERE_RETRY_MS = 100;

/** Failure for work of a segment that is not held here. */
export function notHeld(segment: string): NotHeld {
  return {
    type: "notHeld",
    message: `segment ${segment} is not held here`,
    segment,
  };
}

/** Failure for an identifier that names nothing the team has here. */
export const unknownWork = {
  type: "unknownWork",
  message: "no such work",
} as const;
