/**
 * Checks of a set against the fleet that is to run it.
 *
 * @module
 */
import { type Problem, problem } from "../ini/problem.ts";
import type { OperatorSet, Workload } from "../operator_set.ts";
import { fits } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";

type Gang = Extract<Workload, { kind: "gang" }>;

/** What the checks need to know of a worker. */
export type Capacity = Pick<Worker, "capacity">;

/** Workloads that fit no worker, and gangs that fit neither the fleet nor a team's limit. */
export function checkAgainstFleet(
  set: OperatorSet,
  workers: readonly Capacity[],
): readonly Problem[] {
  return [
    ...workloadsThatFitNowhere(set, workers),
    ...gangsOverFleet(set, workers),
    ...gangsOverLimit(set),
  ];
}

/** Gangs with more tasks than a team of their queue may have running. */
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

function workloadsThatFitNowhere(
  set: OperatorSet,
  workers: readonly Capacity[],
): Problem[] {
  return [...set.workloads.values()]
    .filter(({ resources }) =>
      !workers.some((worker) => fits(resources, worker.capacity))
    )
    .map(({ name }) =>
      problem("neverFits", {
        object: `workload ${name}`,
        message: "one task or request fits no worker of the fleet",
      })
    );
}

function gangsOverFleet(
  set: OperatorSet,
  workers: readonly Capacity[],
): Problem[] {
  return gangsOf(set).flatMap((gang) => {
    const room = workers
      .map((worker) => tasksThatFit(gang.resources, worker.capacity))
      .reduce((sum, tasks) => sum + tasks, 0);
    if (room === 0 || room >= gang.tasks) return [];
    return [
      problem("gangTooLarge", {
        object: `workload ${gang.name}`,
        field: "tasks",
        message: `the whole fleet holds only ${room} of ${gang.tasks} tasks`,
      }),
    ];
  });
}

function gangsOf(set: OperatorSet): Gang[] {
  return [...set.workloads.values()].filter((workload) =>
    workload.kind === "gang"
  );
}

function tasksThatFit(need: Resources, capacity: Resources): number {
  const counts = (Object.keys(need) as (keyof Resources)[])
    .filter((dimension) => need[dimension] > 0)
    .map((dimension) => Math.floor(capacity[dimension] / need[dimension]));
  return Math.min(...counts);
}
