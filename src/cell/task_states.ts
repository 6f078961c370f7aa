/**
 * What the tasks of a step wait for, as far as the leader knows.
 *
 * @module
 */
import type { Fleet, Run } from "./fleet.ts";
import type { StepRun, Task } from "./job.ts";

/**
 * Why a task that is assigned to a worker does not run. `store`: its start is
 * not recorded; `start`: the worker has not answered the start request;
 * `report`: its worker is silent, or no report has shown the run since the
 * leader changed; `stop`: the run is being stopped; `missing`: the leader has
 * no run of the task, which is a fault of the leader.
 */
export type StartBlocker = "store" | "start" | "report" | "stop" | "missing";

/** All of them, the nearest to a running task first. */
export const START_BLOCKERS: readonly StartBlocker[] = [
  "store",
  "start",
  "report",
  "stop",
  "missing",
];

/** State of a task, as far as the leader knows. */
export type TaskState = "waiting" | "running" | "done" | StartBlocker;

/** State of a task. A run on a worker that is silent does not count as running. */
export function taskStateOf(task: Task, fleet: Fleet): TaskState {
  switch (task.phase) {
    case "waiting":
    case "done":
      return task.phase;
    case "assigned": {
      const run = fleet.workers.get(task.worker)?.runs.get(task.id);
      return run?.number === task.run ? runStateOf(run) : "missing";
    }
  }
}

/**
 * Index of the first task that runs or, if the tasks are long-running and so
 * must all run, of the first that does not. -1 if there is none.
 */
export function decisiveTask({ spec, tasks }: StepRun, fleet: Fleet): number {
  for (let index = 0; index < tasks.length; index++) {
    const state = taskStateOf(tasks[index]!, fleet);
    const isDecisive = spec.longRunning
      ? state !== "running" && state !== "done"
      : state === "running";
    if (isDecisive) return index;
  }
  return -1;
}

/** Number of a step's tasks by state. */
export function countTaskStates(
  { tasks }: StepRun,
  fleet: Fleet,
): ReadonlyMap<TaskState, number> {
  const counts = new Map<TaskState, number>();
  for (const task of tasks) {
    const state = taskStateOf(task, fleet);
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}

function runStateOf(run: Run): TaskState {
  if (run.stopping) return "stop";
  if (run.seen || isStartConfirmed(run)) {
    return run.worker.reachable ? "running" : "report";
  }
  if (run.startUnanswered) return "start";
  return run.absenceProvableAfterMs === undefined ? "store" : "report";
}

/**
 * Whether the worker has confirmed the start. The absence of a run of an
 * earlier term is provable without a start request of this one.
 */
function isStartConfirmed(run: Run): boolean {
  return run.absenceProvableAfterMs !== undefined &&
    (run.startedMs !== undefined || run.startUnanswered);
}
