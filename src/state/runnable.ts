/**
 * Selects the tasks of a work that may be started and the attempts that have to be stopped.
 *
 * @module
 */
import type { Task, Work } from "../journal/records.ts";
import type { RunnableTask, StartedAttempt } from "../ports/runner.ts";

/** Tasks that may be started now. Those of a gang may only be started while all its open tasks are waiting. */
export function runnableTasks(id: string, work: Work): RunnableTask[] {
  if (work.cancelledAt !== undefined) return [];
  if (work.gang && work.tasks.some(blocksGang)) return [];
  const tasks = work.tasks.flatMap((task, index) =>
    task.type === "waiting" ? [runnableTask(id, work, index, task)] : []
  );
  if (!work.gang) return tasks;
  return tasks.map((task) => ({ ...task, gangSize: tasks.length }));
}

/** Running attempts of a gang that has a waiting or parked task, so that the whole gang has to be restarted. */
export function brokenGangAttempts(id: string, work: Work): StartedAttempt[] {
  const broken = work.gang &&
    work.tasks.some((task) =>
      task.type === "waiting" || task.type === "parked"
    );
  return broken ? startedAttempts(id, work) : [];
}

/** Attempts that were written to the journal before their start and that have not completed. */
export function startedAttempts(id: string, work: Work): StartedAttempt[] {
  return work.tasks.flatMap((task, index) => {
    if (task.type !== "running") return [];
    const { attempt, worker, fence } = task;
    return [{ work: id, task: index, attempt, worker, fence }];
  });
}

function blocksGang(task: Task): boolean {
  return task.type === "running" || task.type === "parked";
}

function runnableTask(
  id: string,
  work: Work,
  index: number,
  task: Extract<Task, { type: "waiting" }>,
): RunnableTask {
  const { team, workload, payload, submittedAt } = work;
  const { attempts, checkpoint } = task;
  const common = { work: id, task: index, team, workload, payload };
  const runnable = { ...common, submittedAt, attempts };
  return checkpoint === undefined ? runnable : { ...runnable, checkpoint };
}
