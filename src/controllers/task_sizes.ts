/**
 * Estimates what tasks really use from the reports of owned workers. The
 * estimates size later tasks, and tasks are throttled or stopped where a
 * worker's tasks use more than its capacity.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Queue, Workload } from "../operator_set.ts";
import { TaskSizeEstimator } from "../policy/task_size_estimator.ts";
import {
  planRelief,
  type ReliefAction,
  type RunningTask,
} from "../policy/overuse.ts";
import type { TaskReport, Upstream } from "../ports/upstream.ts";
import {
  add,
  elementwiseMax,
  elementwiseMin,
  zeroResources,
} from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import type { Fleet } from "./fleet.ts";
import type { OwnedWorkers } from "./owned_workers.ts";

/**
 * A task counts as larger than declared if it uses more than the declared
 * amount times this factor.
 */
const DECLARED_SIZE_TOLERANCE = 1.06;

/** Dependencies of {@linkcode TaskSizes}. */
export interface TaskSizesOptions {
  readonly workers: OwnedWorkers;
  readonly fleet: Fleet;
  readonly upstream: Upstream;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly queueOf: (name: string) => Queue | undefined;
  /** The team's share of the fleet divided by its weight. */
  readonly rankOf: (team: string) => number;
}

/** The properties of a task that decide its size. */
export interface SizedTask {
  readonly team: string;
  readonly workload: string;
  readonly need: Resources;
}

/** Estimated sizes of tasks by team and workload. */
export class TaskSizes {
  readonly #options: TaskSizesOptions;
  readonly #estimates = new TaskSizeEstimator();
  /** Attempts in the last report of each worker. */
  readonly #reported = new Map<string, ReadonlySet<string>>();

  constructor(options: TaskSizesOptions) {
    this.#options = options;
    options.workers.addListener({
      capacityChanged: () => {},
      tasksReported: (worker, { tasks }) => this.#processReport(worker, tasks),
      trackedAttempts: () => new Set(),
    });
  }

  /**
   * Resources to reserve for a task: the declared ones, or the observed usage
   * of similar tasks where it is larger.
   */
  sizeOf({ team, workload, need }: SizedTask): Resources {
    const key = { team, workload };
    if (!this.#estimates.hasHistory(key)) return need;
    const estimate = this.#estimates.estimate(key, need);
    const largestWorker = this.#options.fleet.workers()
      .map(({ capacity }) => capacity)
      .reduce(elementwiseMax, zeroResources);
    return raiseToEstimate(need, elementwiseMin(estimate, largestWorker));
  }

  #processReport(worker: Worker, tasks: readonly TaskReport[]): void {
    for (const task of tasks) this.#updateEstimate(task);
    const attempts = new Set(tasks.map(({ attempt }) => attempt));
    for (const attempt of this.#reported.get(worker.id) ?? []) {
      if (!attempts.has(attempt)) this.#estimates.discard(attempt);
    }
    this.#reported.set(worker.id, attempts);
    this.#relieveOveruse(worker, tasks);
  }

  #updateEstimate(task: TaskReport): void {
    switch (task.state.type) {
      case "running":
      case "throttled":
        return this.#estimates.recordUsage(task);
      case "succeeded":
      case "failed":
        return this.#estimates.recordCompletion(task.attempt);
      case "stopped":
        return this.#estimates.discard(task.attempt);
      default:
        return assertNever(task.state);
    }
  }

  #relieveOveruse(worker: Worker, tasks: readonly TaskReport[]): void {
    const fence = this.#options.workers.fenceOf(worker.id);
    if (fence === undefined) return;
    const running = tasks.filter(({ state }) =>
      state.type === "running" || state.type === "throttled"
    );
    const usage = running
      .reduce((sum, { used }) => add(sum, used), zeroResources);
    const observed = running.map((task) => this.#toRunningTask(task));
    const actions = planRelief(worker.capacity, { usage, tasks: observed });
    for (const action of actions) {
      if (this.#wouldLoseTask(action, observed)) continue;
      this.#apply(worker, { action, fence });
    }
  }

  /** Whether an action would stop a task that cannot be started again. */
  #wouldLoseTask(
    action: ReliefAction,
    observed: readonly RunningTask[],
  ): boolean {
    if (action.type !== "stop") return false;
    const task = observed.find(({ attempt }) => attempt === action.attempt);
    return task?.idempotent !== true;
  }

  #toRunningTask(task: TaskReport): RunningTask {
    const { queueOf, rankOf, workloadOf } = this.#options;
    const workload = workloadOf(task.workload);
    const queue = workload && queueOf(workload.queue);
    return {
      attempt: task.attempt,
      urgency: queue?.urgency ?? "deferred",
      idempotent: workload?.idempotent ?? false,
      checkpoints: false,
      rank: rankOf(task.team),
      used: {
        ...task.used,
        cpuMillis: usageAboveDeclared(task, "cpuMillis"),
        memoryMib: usageAboveDeclared(task, "memoryMib"),
      },
    };
  }

  #apply(
    { id, address }: Worker,
    { action, fence }: {
      readonly action: ReliefAction;
      readonly fence: number;
    },
  ): void {
    const { log, upstream } = this.#options;
    const { attempt, type } = action;
    log.warn("worker.overused", { worker: id, attempt, action: type });
    switch (action.type) {
      case "throttle": {
        const { cpuMillis } = action;
        void upstream.throttle(address, attempt, { fence, cpuMillis });
        return;
      }
      case "checkpoint":
      case "stop":
        void upstream.stop(address, attempt, { fence, checkpoint: true });
        return;
      default:
        return assertNever(action);
    }
  }
}

/**
 * What a task uses of a resource if that exceeds the declared amount, otherwise
 * 0.
 */
function usageAboveDeclared(
  { declared, used }: TaskReport,
  dimension: "cpuMillis" | "memoryMib",
): number {
  return used[dimension] > declared[dimension] ? used[dimension] : 0;
}

/**
 * The declared size, raised to the estimate for each resource where the
 * estimate exceeds it by more than the tolerance.
 */
function raiseToEstimate(declared: Resources, estimate: Resources): Resources {
  const choose = (dimension: keyof Resources) =>
    estimate[dimension] > declared[dimension] * DECLARED_SIZE_TOLERANCE
      ? estimate[dimension]
      : declared[dimension];
  return {
    ...declared,
    cpuMillis: choose("cpuMillis"),
    memoryMib: choose("memoryMib"),
  };
}
