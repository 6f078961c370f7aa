/**
 * Checks of submissions of deferred work.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { recordsTooLarge } from "../journal/failures.ts";
import { textBytes } from "../journal/records.ts";
import type { Workload } from "../operator_set.ts";
import type { SubmitFailure } from "./deferred_failures.ts";
import type { DeferredLimits } from "./deferred_options.ts";

/** Work that a caller wants done later. */
export interface Submission {
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  /** Tasks; those of a gang are set by its workload. */
  readonly count?: number;
  readonly idempotencyKey?: string;
}

/** A submission that has passed the checks. */
export interface CheckedSubmission {
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  readonly count: number;
  readonly gang: boolean;
  readonly key?: string;
}

/** Checks a submission against its workload and the bounds. */
export function checkSubmission(
  submission: Submission,
  options: {
    readonly workload: Workload | undefined;
    readonly limits: DeferredLimits;
  },
): Result<CheckedSubmission, SubmitFailure> {
  const { workload, limits } = options;
  if (workload === undefined || workload.kind === "service") {
    return err(unknownWorkload);
  }
  if (textBytes(submission.payload) > limits.payloadBytes) {
    return err(recordsTooLarge(limits.payloadBytes));
  }
  if (textBytes(submission.idempotencyKey ?? "") > limits.keyBytes) {
    return err(recordsTooLarge(limits.keyBytes));
  }
  const count = countOf(submission, workload);
  if (!Number.isInteger(count) || count < 1 || count > limits.tasks) {
    return err(badCount(limits.tasks));
  }
  const { team, payload, idempotencyKey: key } = submission;
  const gang = workload.kind === "gang";
  const checked = { team, workload: workload.name, payload, count, gang };
  return ok(key === undefined ? checked : { ...checked, key });
}

function countOf(
  submission: Submission,
  workload: Exclude<Workload, { kind: "service" }>,
): number {
  return workload.kind === "gang" ? workload.tasks : submission.count ?? 1;
}

const unknownWorkload: SubmitFailure = {
  type: "unknownWorkload",
  message: "no workload of that name takes deferred work",
};

function badCount(limit: number): SubmitFailure {
  return {
    type: "badCount",
    message: `the number of tasks must be from 1 to ${limit}`,
  };
}
