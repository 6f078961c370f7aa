/**
 * Checks of an operator set against the capacity of the fleet.
 *
 * @module
 */
import { type Problem, problem } from "../ini/problem.ts";
import type { OperatorSet, Workload } from "../operator_set.ts";
import { fits } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";

type Gang = Extract<Workload, { kind: "gang" }>;

/** Capacity of a worker, the only part of it that the checks use. */
export type WorkerCapacity = Pick<Worker, "capacity">;

/**
 * Reports workloads of which one task fits no worker, gangs that need more
 * capacity than the whole fleet has, and gangs above the limit of a team.
 */
export function checkAgainstFleet(
  set: OperatorSet,
  workers: readonly WorkerCapacity[],
): readonly Problem[] {
  return [
    ...workloadsThatFitNoWorker(set, workers),
    ...gangsOverFleetCapacity(set, workers),
    ...gangsOverLimit(set),
  ];
}

/** Reports gangs with more tasks than a team of their queue may have running. */
export function gangsOverLimit(set: OperatorSet): Problem[] {
  return gangsOf(set).flatMap((gang) => {
    const teams = set.queues.get(gang.queue)?.teams ?? [];
    return [...set.limits.values()]
      .filter((limit) => teams.includes(limit.team))
      .filter((limit) => limit.running < gang.tasks)
      .map(({ team, running }) =>
        problem("gangOverLimit", {
          object: `workload ${gang.name}`,
          field: "tasks",
          message: `team \`${team}\` may have only ${running} running`,
        })
      );
  });
}

function workloadsThatFitNoWorker(
  set: OperatorSet,
  workers: readonly WorkerCapacity[],
): Problem[] {
  return [...set.workloads.values()]
    .filter(({ resources }) =>
      !workers.some((worker) => fits(resources, worker.capacity))
    )
    .map(({ name }) =>
      problem("neverFits", {
        object: `workload ${name}`,
        message:
          "no worker of the fleet has the capacity for one task or request",
      })
    );
}

function gangsOverFleetCapacity(
  set: OperatorSet,
  workers: readonly WorkerCapacity[],
): Problem[] {
  return gangsOf(set).flatMap((gang) => {
    const maxTasks = workers
      .map((worker) => maxTasksOn(gang.resources, worker.capacity))
      .reduce((sum, tasks) => sum + tasks, 0);
    if (maxTasks === 0 || maxTasks >= gang.tasks) return [];
    return [
      problem("gangTooLarge", {
        object: `workload ${gang.name}`,
        field: "tasks",
        message:
          `the whole fleet has capacity for only ${maxTasks} of ${gang.tasks} tasks`,
      }),
    ];
  });
}

function gangsOf(set: OperatorSet): Gang[] {
  return [...set.workloads.values()].filter((workload) =>
    workload.kind === "gang"
  );
}

/** How many tasks fit on an empty worker; Infinity if a task needs nothing. */
function maxTasksOn(need: Resources, capacity: Resources): number {
  const counts = (Object.keys(need) as (keyof Resources)[])
    .filter((dimension) => need[dimension] > 0)
    .map((dimension) => Math.floor(capacity[dimension] / need[dimension]));
  return Math.min(...counts);
}
