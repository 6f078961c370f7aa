/**
 * Creates runs, and helps with their leases, checkpoints and durations.
 *
 * @module
 */
import type { FleetWorker, Run } from "./fleet.ts";
import type { StepRun, Task } from "./job.ts";
import type { WorkerAddress } from "./ports.ts";

/**
 * Largest share by which a worker's clock may run slow; source: the platform's
 * pages.
 */
const MAX_CLOCK_DRIFT = 0.02;
/**
 * Time after the end of a lease on the local clock until everything on the
 * worker has certainly ended.
 */
const LEASE_END_MARGIN_MS = 300;

/**
 * Time after which a lease that is granted now has certainly ended even on the
 * slowest clock, milliseconds.
 */
export function leaseBoundMs(maxLeaseMs: number): number {
  return maxLeaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_END_MARGIN_MS;
}

/**
 * Largest lag of a worker's clock behind the expected time, milliseconds: its
 * drift over a few seconds without a report, and a margin.
 */
const MAX_CLOCK_LAG_MS = 500;

/**
 * Whether the worker's process has restarted since its last report, as its clock
 * has started anew. `clockMs`: its clock in the response to a request that was
 * sent at `sentMs`, monotonic milliseconds.
 */
export function hasClockRestarted(
  { clockOffsetMs }: FleetWorker,
  { clockMs, sentMs }: { readonly clockMs: number; readonly sentMs: number },
): boolean {
  return clockOffsetMs !== undefined &&
    clockMs < sentMs + clockOffsetMs - MAX_CLOCK_LAG_MS;
}

/**
 * Creates the run of a task that was just placed on a worker. `nowMs`:
 * monotonic milliseconds.
 */
export function newRun(
  step: StepRun,
  { task, worker, nowMs }: {
    readonly task: Task;
    readonly worker: FleetWorker;
    readonly nowMs: number;
  },
): Run {
  return {
    step,
    task,
    number: task.run,
    worker,
    amounts: step.spec.amounts,
    placedMs: nowMs,
    fromScratch: task.checkpoint === "",
    startedMs: undefined,
    nextReviewMs: 0,
    absenceProvableAfterMs: undefined,
    startUnanswered: false,
    seen: false,
    stopping: false,
    stopSentMs: 0,
    percent: 0,
    lastProgressMs: nowMs,
  };
}

/**
 * Address for requests to a worker; `undefined` if the worker was never listed.
 */
export function addressOf(
  worker: FleetWorker,
): WorkerAddress | undefined {
  const address = worker.entry?.address;
  return address === undefined ? undefined : { id: worker.id, address };
}

/**
 * Checkpoint that all members of a gang resume from: the newest one of any
 * member. Empty if there is none.
 */
export function gangCheckpoint(step: StepRun): string {
  const newest = [...step.tasks]
    .filter((task) => task.checkpoint !== "")
    .sort((a, b) => b.run - a.run)[0];
  return newest?.checkpoint ?? "";
}

/**
 * Time from the placement of a run to its completion, milliseconds; `undefined`
 * if the worker now has a run with another number.
 */
export function elapsedMsOf(
  run: Run | undefined,
  number: number,
  endedMs: number,
): number | undefined {
  return run?.number === number
    ? Math.round(endedMs - run.placedMs)
    : undefined;
}
