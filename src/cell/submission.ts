/**
 * A submission as an instance passes it to the cell, and its outcome.
 *
 * @module
 */
import type { RejectionReason } from "./decisions/admission.ts";
import type { JobSpec } from "./types.ts";

/** Outcome of a submission. */
export type SubmitOutcome =
  | { readonly type: "accepted" }
  | {
    readonly type: "refused";
    readonly reason: Exclude<RejectionReason, "noHolder">;
  }
  /**
   * The leader's term ended before the outcome was known; the job may have been
   * stored.
   */
  | { readonly type: "unknown" };

/** A submission as an instance passes it to the cell. */
export interface Submission {
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly spec: JobSpec;
}
