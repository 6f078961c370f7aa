/**
 * Validation of submissions of deferred work.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { recordsTooLarge } from "../journal/failures.ts";
import { textBytes } from "../journal/records.ts";
import type { Workload } from "../operator_set.ts";
import type { SubmitFailure } from "./deferred_failures.ts";
import type { DeferredWorkLimits } from "./deferred_options.ts";

/** A caller's request to run deferred work. */
export interface Submission {
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  /** Number of tasks, 1 by default; for a gang, its workload sets the number. */
  readonly count?: number;
  readonly idempotencyKey?: string;
}

/** A valid submission. */
export interface CheckedSubmission {
  readonly team: string;
  readonly workload: string;
  /** Base64. */
  readonly payload: string;
  readonly count: number;
  readonly gang: boolean;
  readonly key?: string;
}

/**
 * Validates a submission against its workload and the limits. Fails with
 * `unknownWorkload`, `recordsTooLarge` or `badCount`.
 */
export function checkSubmission(
  submission: Submission,
  options: {
    readonly workload: Workload | undefined;
    readonly limits: DeferredWorkLimits;
  },
): Result<CheckedSubmission, SubmitFailure> {
  const { workload, limits } = options;
  if (workload === undefined || workload.kind === "service") {
    return err(unknownWorkload);
  }
  if (textBytes(submission.payload) > limits.maxPayloadBytes) {
    return err(recordsTooLarge(limits.maxPayloadBytes));
  }
  if (textBytes(submission.idempotencyKey ?? "") > limits.maxKeyBytes) {
    return err(recordsTooLarge(limits.maxKeyBytes));
  }
  const count = countOf(submission, workload);
  if (!Number.isInteger(count) || count < 1 || count > limits.maxTasks) {
    return err(badCount(limits.maxTasks));
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
  message: "there is no batch or gang workload of that name",
};

function badCount(limit: number): SubmitFailure {
  return {
    type: "badCount",
    message: `the number of tasks must be an integer from 1 to ${limit}`,
  };
}
