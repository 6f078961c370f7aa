/**
 * Parameters and results of the deferred work controller.
 *
 * @module
 */

/** Work items to cancel. */
export type CancelTarget =
  | { readonly type: "work"; readonly id: string; readonly team: string }
  /** All open work items of one workload of a team in owned segments. */
  | { readonly type: "wave"; readonly team: string; readonly workload: string };

/** A task and the worker chosen for it. */
export interface TaskPlacement {
  /** Id of the work item. */
  readonly work: string;
  /** Index of the task within the work item. */
  readonly task: number;
  readonly worker: string;
  /** Fencing token that the start request to the worker will carry. */
  readonly fence: number;
}

/** Counts shown on the status page, under these field names. */
export interface DeferredWorkCounts {
  readonly segments: number;
  readonly works: number;
  readonly waitingWorks: number;
  readonly runningWorks: number;
  readonly parkedWorks: number;
  /** Attempts of previous owners whose outcome is still unknown. */
  readonly unsettledAttempts: number;
  /** Completions not yet written to the journal. */
  readonly unwrittenEndings: number;
  /** Estimated memory used by all work items, bytes. */
  readonly heldBytes: number;
}
