/**
 * A submission as an entry hands it in, and what becomes of it.
 *
 * @module
 */
import type { JobSpec } from "./types.ts";

/** What became of a submission. */
export type SubmitOutcome =
  | { readonly type: "accepted" }
  | { readonly type: "refused"; readonly reason: "storeAway" | "overload" }
  /** The hold on the cell ended: it may have been stored. */
  | { readonly type: "unknown" };

/** A submission as an entry hands it in. */
export interface Submission {
  readonly id: string;
  readonly queue: string;
  readonly team: string;
  readonly spec: JobSpec;
}
