/**
 * What tasks really take: learned from the reports of owned workers, used to
 * place later ones, and acted on where a worker's tasks use more than it holds.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Queue, Workload } from "../operator_set.ts";
import { Estimates } from "../policy/estimates.ts";
import { type Action, advise, type RunningTask } from "../policy/overuse.ts";
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

/** How many times what it declares a task may use without counting as larger. */
const TOLERANCE = 1.06;

/** What the controller needs. */
export interface TaskSizesOptions {
  readonly workers: OwnedWorkers;
  readonly fleet: Fleet;
  readonly upstream: Upstream;
  readonly log: Log;
  readonly workloadOf: (name: string) => Workload | undefined;
  readonly queueOf: (name: string) => Queue | undefined;
  /** The team's share of the fleet over its weight. */
  readonly rankOf: (team: string) => number;
}

/** A task as far as its size goes. */
export interface SizedTask {
  readonly team: string;
  readonly workload: string;
  readonly need: Resources;
}

/** Sizes of tasks by team and workload. */
export class TaskSizes {
  readonly #options: TaskSizesOptions;
  readonly #estimates = new Estimates();
  /** Attempts that each worker reported last. */
  readonly #reported = new Map<string, ReadonlySet<string>>();

  constructor(options: TaskSizesOptions) {
    this.#options = options;
    options.workers.listen({
      roomChanged: () => {},
      tasksReported: (worker, { tasks }) => this.#take(worker, tasks),
      trackedOn: () => new Set(),
    });
  }

  /** What to reserve for a task: what it declares, or what its like were seen to use if that is more. */
  sizeOf({ team, workload, need }: SizedTask): Resources {
    const key = { team, workload };
    if (!this.#estimates.knows(key)) return need;
    const estimate = this.#estimates.estimate(key, need);
    const most = this.#options.fleet.workers()
      .map(({ capacity }) => capacity)
      .reduce(elementwiseMax, zeroResources);
    return exceeding(need, elementwiseMin(estimate, most));
  }

  #take(worker: Worker, tasks: readonly TaskReport[]): void {
    for (const task of tasks) this.#learn(task);
    const attempts = new Set(tasks.map(({ attempt }) => attempt));
    for (const attempt of this.#reported.get(worker.id) ?? []) {
      if (!attempts.has(attempt)) this.#estimates.discard(attempt);
    }
    this.#reported.set(worker.id, attempts);
    this.#relieve(worker, tasks);
  }

  #learn(task: TaskReport): void {
    switch (task.state.type) {
      case "running":
      case "throttled":
        return this.#estimates.observe(task);
      case "succeeded":
      case "failed":
        return this.#estimates.finish(task.attempt);
      case "stopped":
        return this.#estimates.discard(task.attempt);
      default:
        return assertNever(task.state);
    }
  }

  #relieve(worker: Worker, tasks: readonly TaskReport[]): void {
    const fence = this.#options.workers.fence(worker.id);
    if (fence === undefined) return;
    const running = tasks.filter(({ state }) =>
      state.type === "running" || state.type === "throttled"
    );
    const usage = running
      .reduce((sum, { used }) => add(sum, used), zeroResources);
    const observed = running.map((task) => this.#observedOf(task));
    const actions = advise(worker.capacity, { usage, tasks: observed });
    for (const action of actions) {
      if (this.#isLoss(action, observed)) continue;
      this.#act(worker, { action, fence });
    }
  }

  /** Whether a step would end a task that cannot be started again. */
  #isLoss(action: Action, observed: readonly RunningTask[]): boolean {
    if (action.type !== "stop") return false;
    const task = observed.find(({ attempt }) => attempt === action.attempt);
    return task?.idempotent !== true;
  }

  #observedOf(task: TaskReport): RunningTask {
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
        cpuMillis: beyond(task, "cpuMillis"),
        memoryMib: beyond(task, "memoryMib"),
      },
    };
  }

  #act(
    { id, address }: Worker,
    { action, fence }: { readonly action: Action; readonly fence: number },
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

/** What a task uses of a dimension if that is more than it has reserved, else 0. */
function beyond(
  { declared, used }: TaskReport,
  dimension: "cpuMillis" | "memoryMib",
): number {
  return used[dimension] > declared[dimension] ? used[dimension] : 0;
}

/** The declared size, but the estimate in each dimension where that is clearly more. */
function exceeding(declared: Resources, estimate: Resources): Resources {
  const choose = (dimension: keyof Resources) =>
    estimate[dimension] > declared[dimension] * TOLERANCE
      ? estimate[dimension]
      : declared[dimension];
  return {
    ...declared,
    cpuMillis: choose("cpuMillis"),
    memoryMib: choose("memoryMib"),
  };
}
