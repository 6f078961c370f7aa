/**
 * Random workers and tasks of mixed shapes for the benchmarks.
 *
 * @module
 */
import { WorkerPool } from "../src/policy/worker_pool.ts";
import type { Resources, Worker } from "../src/types.ts";
import type { Random } from "./random.ts";

/** Workers per rack. */
const WORKERS_PER_RACK = 8;
/** Part of the workers that have accelerators. */
const ACCELERATED_FRACTION = 0.13;
const ACCELERATORS = 8;
/** Possible memory sizes of a worker of 64 cores. */
const MEMORY_MIB = [128 * 1_024, 256 * 1_024];

/** Generates a pool of workers of 64 cores in three zones. */
export function generatePool(
  random: Random,
  options: { readonly workers: number; readonly slots: number },
): WorkerPool {
  const pool = new WorkerPool();
  for (let i = 0; i < options.workers; i++) {
    pool.upsert(generateWorker(random, { index: i, slots: options.slots }));
  }
  return pool;
}

function generateWorker(
  random: Random,
  options: { readonly index: number; readonly slots: number },
): Worker {
  const { index, slots } = options;
  const rack = Math.floor(index / WORKERS_PER_RACK);
  return {
    id: `w${index}`,
    address: "10.0.0.1:80",
    zone: `z${rack % 3}`,
    rack: `r${rack}`,
    capacity: {
      cpuMillis: 64_000,
      memoryMib: random.pick(MEMORY_MIB),
      accelerators: random.uniform() < ACCELERATED_FRACTION ? ACCELERATORS : 0,
      slots,
    },
    connections: 60,
  };
}

/** Possible processor needs of a task, thousandths of a core, with their weights. */
const TASK_CPU_MILLIS = [500, 1_000, 2_000, 4_000, 8_000, 16_000];
const TASK_CPU_WEIGHTS = [4, 6, 5, 3, 2, 1];
/** Possible memory needs of a task per core. */
const MIB_PER_CORE = [1_024, 2_048, 4_096, 8_192];
/** Part of the tasks that need accelerators. */
const ACCELERATED_TASK_FRACTION = 0.05;

/** Generates the resource need of a task. */
export function generateNeed(random: Random): Resources {
  const cpuMillis = TASK_CPU_MILLIS[random.weightedIndex(TASK_CPU_WEIGHTS)]!;
  const accelerated = random.uniform() < ACCELERATED_TASK_FRACTION;
  return {
    cpuMillis,
    memoryMib: Math.round(cpuMillis / 1_000 * random.pick(MIB_PER_CORE)),
    accelerators: accelerated ? 1 + random.integerBelow(4) : 0,
    slots: 1,
  };
}
