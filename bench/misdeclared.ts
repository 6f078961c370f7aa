/**
 * A fleet under constant load whose tasks declare sizes that are off by up to
 * four times, each workload by its own factor.
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
import { drawNeed, drawPool } from "./cluster.ts";
import type { Random } from "./random.ts";

const WORKERS = 60;
const WORKER_SLOTS = 1_000;
const WORKLOADS = 120;
const WAITING = 200;
const STEPS = 400;
/** Steps before figures count. */
const LEARNING_STEPS = 200;
/** Part of the running tasks that end in one step. */
const END_PART = 0.1;
/** Largest factor by which a declaration is off. */
const MAX_FACTOR = 4;
/** Largest part by which one task differs from others of its workload. */
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

/** Figures of one run. */
export interface MisdeclaredRun {
  /** Real use of the scarcest resource over its capacity. */
  readonly packed: number;
  /** Workers found with more memory in use than they have, once sizes are known. */
  readonly over: number;
  readonly overWhileLearning: number;
  readonly throttled: number;
  readonly evicted: number;
}

/** Which sizes tasks are placed by; `real` are known to no scheduler. */
export type Sizes = "declared" | "estimated" | "real";

/** Runs the fleet. */
export function runMisdeclared(
  random: Random,
  sizes: Sizes,
): MisdeclaredRun {
  const fleet = new Fleet(random, sizes);
  let packed = 0;
  for (let step = 0; step < STEPS; step++) {
    fleet.step(step < LEARNING_STEPS);
    if (step >= LEARNING_STEPS) packed += fleet.usedPart();
  }
  return { ...fleet.counts, packed: packed / (STEPS - LEARNING_STEPS) };
}

class Fleet {
  readonly counts = {
    over: 0,
    overWhileLearning: 0,
    throttled: 0,
    evicted: 0,
  };
  readonly #random: Random;
  readonly #pool: WorkerPool;
  readonly #estimates = new TaskSizeEstimator();
  readonly #sizes: Sizes;
  readonly #templates: readonly Template[];
  readonly #waiting: Template[] = [];
  readonly #tasks = new Map<string, Task>();
  #next = 0;

  constructor(random: Random, sizes: Sizes) {
    this.#random = random;
    this.#sizes = sizes;
    const options = { workers: WORKERS, slots: WORKER_SLOTS };
    this.#pool = drawPool(random, options);
    this.#templates = Array.from(
      { length: WORKLOADS },
      (_, i) => drawTemplate(random, i),
    );
  }

  /** Ends some tasks, starts what fits, then hears the workers' reports. */
  step(learning: boolean): void {
    for (const task of [...this.#tasks.values()]) {
      if (this.#random.unit() < END_PART) this.#end(task);
    }
    this.#startWaiting();
    this.#report(learning);
  }

  usedPart(): number {
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

  #end(task: Task): void {
    this.#estimates.recordCompletion(task.attempt);
    this.#drop(task);
  }

  #drop(task: Task): void {
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
      this.#judge(tasks, { worker, learning });
    }
  }

  #judge(
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
    this.#drop(this.#tasks.get(attempt)!);
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

function drawTemplate(random: Random, index: number): Template {
  const real = { ...drawNeed(random), accelerators: 0 };
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
