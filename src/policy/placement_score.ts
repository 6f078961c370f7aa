/**
 * Scores how well a task fits the free capacity of a worker. Lower scores are better.
 *
 * @module
 */
import type { Resources } from "../types.ts";

/** How tasks are distributed over the workers. */
export type PlacementStrategy =
  /** Fills up workers one by one, which leaves others empty for large tasks. */
  | "pack"
  /** Balances load over the workers, which keeps requests apart. */
  | "even";

/** Penalty for placing a task that needs no accelerators on a worker with free ones. */
const ACCELERATOR_PENALTY = 10;
/** Weight of the additional imbalance between free processors and free memory. */
const IMBALANCE_WEIGHT = 16;

/** Score of a task on a worker; `need` must fit into `free`. */
export function placementScore(
  need: Resources,
  worker: {
    readonly free: Resources;
    readonly capacity: Resources;
    readonly strategy: PlacementStrategy;
  },
): number {
  const { free, capacity, strategy } = worker;
  const cpuBefore = fraction(free.cpuMillis, capacity.cpuMillis);
  const memoryBefore = fraction(free.memoryMib, capacity.memoryMib);
  const cpu = cpuBefore - fraction(need.cpuMillis, capacity.cpuMillis);
  const memory = memoryBefore - fraction(need.memoryMib, capacity.memoryMib);
  const penalty = need.accelerators === 0 && free.accelerators > 0
    ? ACCELERATOR_PENALTY
    : 0;
  if (strategy === "even") {
    const slots = fraction(free.slots - need.slots, capacity.slots);
    return penalty - Math.min(cpu, memory, slots);
  }
  const imbalance = Math.abs(cpu - memory) - Math.abs(cpuBefore - memoryBefore);
  return penalty + cpu + memory + IMBALANCE_WEIGHT * imbalance +
    fraction(free.accelerators - need.accelerators, capacity.accelerators);
}

function fraction(amount: number, whole: number): number {
  return whole === 0 ? 0 : amount / whole;
}
