/**
 * Workers and needs of mixed shapes for the benches.
 *
 * @module
 */
import { WorkerPool } from "../src/policy/worker_pool.ts";
import type { Resources, Worker } from "../src/types.ts";
import type { Random } from "./random.ts";

/** Workers of a rack. */
const RACK_SIZE = 8;
/** Part of the workers with accelerators in a large fleet. */
const ACCELERATED_PART = 0.13;
const ACCELERATORS = 8;
/** Memory of a worker of 64 cores. */
const MEMORY_MIB = [128 * 1_024, 256 * 1_024];

/** A pool of workers of 64 cores in three zones. */
export function drawPool(
  random: Random,
  options: { readonly workers: number; readonly slots: number },
): WorkerPool {
  const pool = new WorkerPool();
  for (let i = 0; i < options.workers; i++) {
    pool.upsert(drawWorker(random, { index: i, slots: options.slots }));
  }
  return pool;
}

function drawWorker(
  random: Random,
  options: { readonly index: number; readonly slots: number },
): Worker {
  const { index, slots } = options;
  const rack = Math.floor(index / RACK_SIZE);
  return {
    id: `w${index}`,
    address: "10.0.0.1:80",
    zone: `z${rack % 3}`,
    rack: `r${rack}`,
    capacity: {
      cpuMillis: 64_000,
      memoryMib: random.pick(MEMORY_MIB),
      accelerators: random.unit() < ACCELERATED_PART ? ACCELERATORS : 0,
      slots,
    },
    connections: 60,
  };
}

/** Processors of one task. */
const TASK_CPU_MILLIS = [500, 1_000, 2_000, 4_000, 8_000, 16_000];
const TASK_CPU_WEIGHTS = [4, 6, 5, 3, 2, 1];
/** Memory for each core of a task. */
const MIB_A_CORE = [1_024, 2_048, 4_096, 8_192];
/** Part of the tasks that need accelerators. */
const ACCELERATED_TASK_PART = 0.05;

/** What one task takes. */
export function drawNeed(random: Random): Resources {
  const cpuMillis = TASK_CPU_MILLIS[random.weighted(TASK_CPU_WEIGHTS)]!;
  const accelerated = random.unit() < ACCELERATED_TASK_PART;
  return {
    cpuMillis,
    memoryMib: Math.round(cpuMillis / 1_000 * random.pick(MIB_A_CORE)),
    accelerators: accelerated ? 1 + random.below(4) : 0,
    slots: 1,
  };
}
