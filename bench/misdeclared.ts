/**
 * Simulates a fleet under constant load whose tasks declare wrong sizes: each
 * workload is off by its own factor of up to four.
 *
 * @module
 */
import {
  type EstimateKey,
  TaskSizeEstimator,
} from "../src/policy/task_size_estimator.ts";
import { planRelief, type RunningTask } from "../src/policy/overuse.ts";
import type { WorkerPool } from "../src/policy/worker_pool.ts";
import { add, zeroResources } from "../src/resources.ts";
import type { Resources } from "../src/types.ts";
import { generateNeed, generatePool } from "./generated_fleet.ts";
import type { Random } from "./random.ts";

const WORKERS = 60;
const WORKER_SLOTS = 1_000;
const WORKLOADS = 120;
const WAITING = 200;
const STEPS = 400;
/** Steps of the learning phase; `packed` and `over` are measured after it. */
const LEARNING_STEPS = 200;
/** Part of the running tasks that complete in one step. */
const COMPLETION_FRACTION = 0.1;
/** Maximum ratio between the declared and the real size, in both directions. */
const MAX_FACTOR = 4;
/** Maximum relative difference between the tasks of a workload. */
const SPREAD = 0.05;

/** Capacity of the largest worker. */
const LARGEST: Resources = {
  cpuMillis: 64_000,
  memoryMib: 256 * 1_024,
  accelerators: 8,
  slots: WORKER_SLOTS,
};

interface Template extends EstimateKey {
  readonly real: Resources;
  readonly declared: Resources;
}

interface Task extends EstimateKey {
  readonly attempt: string;
  readonly declared: Resources;
  readonly used: Resources;
  readonly taken: Resources;
  readonly worker: string;
}

/** Figures of one simulation. */
export interface MisdeclaredResult {
  /** Mean use of the scarcer of processors and memory over its capacity, after the learning phase. */
  readonly packed: number;
  /** How often a worker used more memory than it has, after the learning phase. */
  readonly over: number;
  readonly overWhileLearning: number;
  readonly throttled: number;
  readonly evicted: number;
}

/** Sizes that tasks are placed by. `real` serves as a bound: no scheduler has these. */
export type SizeSource = "declared" | "estimated" | "real";

/** Simulates the fleet. */
export function runMisdeclared(
  random: Random,
  sizes: SizeSource,
): MisdeclaredResult {
  const fleet = new SimulatedFleet(random, sizes);
  let packed = 0;
  for (let step = 0; step < STEPS; step++) {
    fleet.step(step < LEARNING_STEPS);
    if (step >= LEARNING_STEPS) packed += fleet.utilization();
  }
  return { ...fleet.counts, packed: packed / (STEPS - LEARNING_STEPS) };
}

class SimulatedFleet {
  readonly counts = {
    over: 0,
    overWhileLearning: 0,
    throttled: 0,
    evicted: 0,
  };
  readonly #random: Random;
  readonly #pool: WorkerPool;
  readonly #estimates = new TaskSizeEstimator();
  readonly #sizes: SizeSource;
  readonly #templates: readonly Template[];
  readonly #waiting: Template[] = [];
  readonly #tasks = new Map<string, Task>();
  #next = 0;

  constructor(random: Random, sizes: SizeSource) {
    this.#random = random;
    this.#sizes = sizes;
    const options = { workers: WORKERS, slots: WORKER_SLOTS };
    this.#pool = generatePool(random, options);
    this.#templates = Array.from(
      { length: WORKLOADS },
      (_, i) => generateTemplate(random, i),
    );
  }

  /** Completes some tasks, starts waiting ones that fit, then handles the reports of the workers. */
  step(learning: boolean): void {
    for (const task of [...this.#tasks.values()]) {
      if (this.#random.uniform() < COMPLETION_FRACTION) this.#complete(task);
    }
    this.#startWaiting();
    this.#report(learning);
  }

  utilization(): number {
    const used = [...this.#tasks.values()].reduce(
      (sum, task) => add(sum, task.used),
      zeroResources,
    );
    const { capacity } = this.#pool.totals();
    return Math.max(
      used.cpuMillis / capacity.cpuMillis,
      used.memoryMib / capacity.memoryMib,
    );
  }

  #startWaiting(): void {
    for (let round = 0; round < WAITING; round++) {
      while (this.#waiting.length < WAITING) {
        this.#waiting.push(this.#random.pick(this.#templates));
      }
      const index = this.#waiting.findIndex((next) => this.#start(next));
      if (index < 0) return;
      this.#waiting.splice(index, 1);
    }
  }

  #start(template: Template): boolean {
    const { team, workload, declared } = template;
    const taken = this.#sizeOf(template);
    const worker = this.#pool.findWorker(taken);
    if (worker === undefined) return false;
    this.#pool.allocate(worker, taken);
    const attempt = `${this.#next++}`;
    const used = this.#vary(template.real);
    this.#tasks.set(attempt, {
      team,
      workload,
      declared,
      attempt,
      used,
      taken,
      worker,
    });
    return true;
  }

  #sizeOf(template: Template): Resources {
    switch (this.#sizes) {
      case "declared":
        return template.declared;
      case "estimated":
        return this.#estimates.estimate(template, template.declared, {
          largest: LARGEST,
        });
      case "real":
        return template.real;
    }
  }

  #complete(task: Task): void {
    this.#estimates.recordCompletion(task.attempt);
    this.#release(task);
  }

  #release(task: Task): void {
    this.#pool.release(task.worker, task.taken);
    this.#tasks.delete(task.attempt);
  }

  #report(learning: boolean): void {
    const byWorker = new Map<string, Task[]>();
    for (const task of this.#tasks.values()) {
      this.#estimates.recordUsage(task);
      const tasks = byWorker.get(task.worker) ?? [];
      byWorker.set(task.worker, [...tasks, task]);
    }
    for (const [worker, tasks] of byWorker) {
      this.#handleOveruse(tasks, { worker, learning });
    }
  }

  #handleOveruse(
    tasks: readonly Task[],
    at: { readonly worker: string; readonly learning: boolean },
  ): void {
    const { capacity } = this.#pool.worker(at.worker)!;
    const usage = tasks.reduce(
      (sum, { used }) => add(sum, used),
      zeroResources,
    );
    if (usage.memoryMib > capacity.memoryMib) {
      if (at.learning) this.counts.overWhileLearning++;
      else this.counts.over++;
    }
    const actions = planRelief(capacity, {
      usage,
      tasks: tasks.map(runningTask),
    });
    for (const action of actions) {
      if (action.type === "throttle") this.counts.throttled++;
      else this.#evict(action.attempt);
    }
  }

  #evict(attempt: string): void {
    this.counts.evicted++;
    this.#estimates.discard(attempt);
    this.#release(this.#tasks.get(attempt)!);
  }

  #vary(real: Resources): Resources {
    const factor = () => this.#random.between(1 - SPREAD, 1);
    return {
      ...real,
      cpuMillis: Math.round(real.cpuMillis * factor()),
      memoryMib: Math.round(real.memoryMib * factor()),
    };
  }
}

function generateTemplate(random: Random, index: number): Template {
  const real = { ...generateNeed(random), accelerators: 0 };
  const off = () => MAX_FACTOR ** random.between(-1, 1);
  return {
    team: `team${index % 6}`,
    workload: `workload${index}`,
    real,
    declared: {
      ...real,
      cpuMillis: Math.min(64_000, Math.round(real.cpuMillis * off())),
      memoryMib: Math.min(131_072, Math.round(real.memoryMib * off())),
    },
  };
}

function runningTask(task: Task): RunningTask {
  return {
    attempt: task.attempt,
    urgency: "deferred",
    idempotent: true,
    checkpoints: true,
    rank: 0,
    used: task.used,
  };
}
