/**
 * What proves that a run is no longer on its worker, so that its task may be
 * started again.
 *
 * Load pattern: workers that are cut off or slow to report while tasks wait for
 * capacity. A wrong conclusion starts a task twice; without a conclusion the
 * capacity of a lost run stays reserved until its lease has ended.
 *
 * A failed request proves nothing about the runs: a network that is cut off may
 * drop, reset or refuse connections, and the worker runs on.
 *
 * @module
 */
import type { FleetWorker, Run } from "../fleet.ts";
import type { WorkerReport } from "../ports.ts";

/** What the leader has learned about the runs of one worker. */
export type Evidence =
  /** The worker has reported. `requestedMs`: when, monotonic milliseconds. */
  | {
    readonly type: "report";
    readonly requestedMs: number;
    readonly report: WorkerReport;
  }
  /**
   * Another process answers at the worker's address. `requestedMs`: when it was
   * called, monotonic milliseconds.
   */
  | { readonly type: "otherProcess"; readonly requestedMs: number }
  /** The time has passed, monotonic milliseconds. */
  | { readonly type: "time"; readonly nowMs: number };

/** The runs of a worker that are certainly not on it. */
export function findAbsentRuns(
  worker: FleetWorker,
  evidence: Evidence,
): readonly Run[] {
  switch (evidence.type) {
    case "report": {
      const { report, requestedMs } = evidence;
      // The run may be among the completions that are reported later.
      if (report.mayOmitCompletions) return [];
      const listed = listedRuns(report);
      return [...worker.runs.values()].filter((run) =>
        isProvable(run, requestedMs) && !listed.has(runKey(run.task.id, run))
      );
    }
    case "otherProcess":
      return [...worker.runs.values()].filter((run) =>
        isProvable(run, evidence.requestedMs)
      );
    // Checked for each worker in every tick, so the runs are not walked first.
    case "time":
      return !worker.reachable && worker.leaseBoundMs <= evidence.nowMs
        ? [...worker.runs.values()]
        : [];
  }
}

/** Whether the worker had received the run, or a stop of it, before a request. */
function isProvable(
  { absenceProvableAfterMs }: Run,
  requestedMs: number,
): boolean {
  return absenceProvableAfterMs !== undefined &&
    absenceProvableAfterMs < requestedMs;
}

/** Keys of all runs that a report lists as running or ended. */
function listedRuns({ running, completions }: WorkerReport): Set<string> {
  return new Set([
    ...running.map((one) => runKey(one.task, { number: one.run })),
    ...completions.map((one) => runKey(one.task, { number: one.run })),
  ]);
}

function runKey(task: string, { number }: Pick<Run, "number">): string {
  return `${task} ${number}`;
}
