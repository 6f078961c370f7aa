/**
 * Measures the utilization of workers: on tasks of mixed shapes against the
 * fractional bound, and with declared sizes that are wrong by a factor of up
 * to four.
 *
 * @module
 */
import { WorkerPool } from "../src/policy/worker_pool.ts";
import { add, fits, zeroResources } from "../src/resources.ts";
import type { Resources } from "../src/types.ts";
import { generateNeed, generatePool } from "./generated_fleet.ts";
import { runMisdeclared } from "./misdeclared.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const WORKERS = 240;
const WORKER_SLOTS = 64;
const PARTITIONS = 8;
const MIN_MIXED = 0.95;
const MIN_MISDECLARED = 0.9;

/** Runs the benchmark. */
export function benchPacking(results: Results, seed: number): void {
  benchMixed(results, seed);
  benchMisdeclared(results, seed);
}

function benchMixed(results: Results, seed: number): void {
  const needs = fractionalLoad(seed);
  const packed = (place: Placer) =>
    packedFraction(createPool(seed), { needs, place });
  results.line("mixed_tasks", needs.length);
  results.atLeast("mixed_packed", packed(bestFit), MIN_MIXED);
  results.line("mixed_first_fit_packed", packed(firstFit));
  results.line("mixed_fifo_first_fit_packed", packed(inArrivalOrder(firstFit)));
  results.line("mixed_split_packed", packed(partitioned()));
}

function benchMisdeclared(results: Results, seed: number): void {
  const random = () => new Random(seed);
  const learned = runMisdeclared(random(), "estimated");
  results.atLeast("misdeclared_packed", learned.packed, MIN_MISDECLARED);
  results.atMost("misdeclared_over", learned.over, 0);
  results.line("misdeclared_over_while_learning", learned.overWhileLearning);
  results.line("misdeclared_throttled", learned.throttled);
  results.line("misdeclared_evicted", learned.evicted);
  const real = runMisdeclared(random(), "real");
  results.line("misdeclared_real_sizes_packed", real.packed);
  const declared = runMisdeclared(random(), "declared");
  results.line("misdeclared_as_declared_packed", declared.packed);
  results.line("misdeclared_as_declared_over", declared.over);
  results.line("misdeclared_as_declared_evicted", declared.evicted);
}

function createPool(seed: number): WorkerPool {
  const options = { workers: WORKERS, slots: WORKER_SLOTS };
  return generatePool(new Random(seed), options);
}

/** Tasks, in order of arrival, that would just fill the fleet if it were a single large worker. */
function fractionalLoad(seed: number): Resources[] {
  const random = new Random(seed + 1);
  const { capacity } = createPool(seed).totals();
  const needs: Resources[] = [];
  let sum = zeroResources;
  for (;;) {
    const need = generateNeed(random);
    const total = add(sum, need);
    if (total.accelerators > capacity.accelerators) continue;
    if (!fits(total, capacity)) return needs;
    needs.push(need);
    sum = total;
  }
}

type Placer = (pool: WorkerPool, need: Resources) => string | undefined;

function bestFit(pool: WorkerPool, need: Resources): string | undefined {
  return pool.findWorker(need);
}

function firstFit(pool: WorkerPool, need: Resources): string | undefined {
  for (const id of pool.ids()) {
    if (fits(need, pool.free(id)!)) return id;
  }
  return undefined;
}

/** Places no further task after the first one that does not fit (head-of-line blocking). */
function inArrivalOrder(place: Placer): Placer {
  let blocked = false;
  return (pool, need) => {
    const worker = blocked ? undefined : place(pool, need);
    blocked ||= worker === undefined;
    return worker;
  };
}

/** Partitions the workers statically; tasks are assigned to the partitions in turn. */
function partitioned(): Placer {
  let next = 0;
  return (pool, need) => {
    const part = next++ % PARTITIONS;
    const elsewhere = [...pool.ids()].filter((_, i) => i % PARTITIONS !== part);
    return pool.findWorker(need, { avoid: new Set(elsewhere) });
  };
}

/** Placed part of the load, for the scarcer of processors and memory. */
function packedFraction(
  pool: WorkerPool,
  options: { readonly needs: readonly Resources[]; readonly place: Placer },
): number {
  const { needs, place } = options;
  const offered = needs.reduce(add, zeroResources);
  let placed = zeroResources;
  for (const need of needs) {
    const worker = place(pool, need);
    if (worker === undefined || !pool.allocate(worker, need)) continue;
    placed = add(placed, need);
  }
  const { capacity } = pool.totals();
  const memoryIsScarce = offered.memoryMib / capacity.memoryMib >
    offered.cpuMillis / capacity.cpuMillis;
  return memoryIsScarce
    ? placed.memoryMib / offered.memoryMib
    : placed.cpuMillis / offered.cpuMillis;
}
