/**
 * What goes into and comes out of the deferred work controller.
 *
 * @module
 */

/** What to cancel. */
export type CancelTarget =
  | { readonly type: "work"; readonly id: string; readonly team: string }
  /** All open work of a team's workload that is held here. */
  | { readonly type: "wave"; readonly team: string; readonly workload: string };

/** Where a task is to be started. */
export interface TaskPlacement {
  readonly work: string;
  readonly task: number;
  readonly worker: string;
  /** Fencing number under which the worker will be told. */
  readonly fence: number;
}

/** Amounts for the status page. */
export interface DeferredCounts {
  readonly segments: number;
  readonly works: number;
  readonly waitingWorks: number;
  readonly runningWorks: number;
  readonly parkedWorks: number;
  /** Attempts of former holders whose fate is being found out. */
  readonly unsettledAttempts: number;
  /** Endings that wait for the service. */
  readonly unwrittenEndings: number;
  readonly heldBytes: number;
}
