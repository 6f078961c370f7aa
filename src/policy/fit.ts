/**
 * How well a need fits the free room of a worker. Lower scores are better.
 *
 * @module
 */
import type { Resources } from "../types.ts";

/** How tasks are laid out over the workers. */
export type Strategy =
  /** Fills workers up, which keeps others whole for large tasks. */
  | "pack"
  /** Loads workers alike, which keeps requests apart. */
  | "even";

/** Added where a task would sit beside accelerators that it does not use. */
const ACCELERATOR_PENALTY = 10;
/** Weight of the imbalance that a placement adds between processors and memory. */
const IMBALANCE_WEIGHT = 16;

/** Scores one placement; `free` must hold `need`. */
export function score(
  need: Resources,
  room: {
    readonly free: Resources;
    readonly capacity: Resources;
    readonly strategy: Strategy;
  },
): number {
  const { free, capacity, strategy } = room;
  const cpuBefore = part(free.cpuMillis, capacity.cpuMillis);
  const memoryBefore = part(free.memoryMib, capacity.memoryMib);
  const cpu = cpuBefore - part(need.cpuMillis, capacity.cpuMillis);
  const memory = memoryBefore - part(need.memoryMib, capacity.memoryMib);
  const penalty = need.accelerators === 0 && free.accelerators > 0
    ? ACCELERATOR_PENALTY
    : 0;
  if (strategy === "even") {
    const slots = part(free.slots - need.slots, capacity.slots);
    return penalty - Math.min(cpu, memory, slots);
  }
  const imbalance = Math.abs(cpu - memory) - Math.abs(cpuBefore - memoryBefore);
  return penalty + cpu + memory + IMBALANCE_WEIGHT * imbalance +
    part(free.accelerators - need.accelerators, capacity.accelerators);
}

function part(amount: number, whole: number): number {
  return whole === 0 ? 0 : amount / whole;
}
