/**
 * One run of a task: what it is made of and how long it may last.
 *
 * @module
 */
import type { FleetWorker, Run } from "./fleet.ts";
import type { StepRun, Task } from "./job.ts";
import type { WorkerAddress } from "./ports.ts";

/** How much slower a worker's clock may run; source: the platform's pages. */
const CLOCK_DRIFT = 0.02;
/** Time after a lease's end by our clock until everything on the worker has surely ended, milliseconds. */
const LEASE_END_SLACK_MS = 300;

/** Time after which a lease given now has surely ended on the slowest clock, milliseconds. */
export function leaseBoundMs(maxLeaseMs: number): number {
  return maxLeaseMs * (1 + CLOCK_DRIFT) + LEASE_END_SLACK_MS;
}

/** A run that has just been decided. */
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
    whole: task.checkpoint === "",
    startedMs: undefined,
    reviewMs: 0,
    provableAfterMs: undefined,
    seen: false,
    stopping: false,
    stopSentMs: 0,
    percent: 0,
    progressMs: nowMs,
  };
}

/** Where orders for a worker go; `undefined` if it was never listed. */
export function addressOf(
  worker: FleetWorker,
): WorkerAddress | undefined {
  const address = worker.entry?.address;
  return address === undefined ? undefined : { id: worker.id, address };
}

/** One checkpoint for all members; any member's holds for the gang. */
export function gangCheckpoint(step: StepRun): string {
  const newest = [...step.tasks]
    .filter((task) => task.checkpoint !== "")
    .sort((a, b) => b.run - a.run)[0];
  return newest?.checkpoint ?? "";
}

/** Time from the decision of a run to its end, milliseconds; `undefined` if the run there has another number. */
export function tookOf(
  run: Run | undefined,
  number: number,
  endedMs: number,
): number | undefined {
  return run?.number === number
    ? Math.round(endedMs - run.placedMs)
    : undefined;
}
