/**
 * Arithmetic on {@linkcode Resources}.
 *
 * @module
 */
import type { Resources } from "./types.ts";

/** Nothing at all. */
export const noResources: Resources = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 0,
};

/** Sums two amounts. */
export function add(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMib: a.memoryMib + b.memoryMib,
    accelerators: a.accelerators + b.accelerators,
    slots: a.slots + b.slots,
  };
}

/** Takes `b` from `a`; the result may be negative. */
export function subtract(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMib: a.memoryMib - b.memoryMib,
    accelerators: a.accelerators - b.accelerators,
    slots: a.slots - b.slots,
  };
}

/** The larger of two amounts in each dimension. */
export function largest(a: Resources, b: Resources): Resources {
  return eachOf(Math.max, { a, b });
}

/** The smaller of two amounts in each dimension. */
export function smallest(a: Resources, b: Resources): Resources {
  return eachOf(Math.min, { a, b });
}

/** Whether two amounts are the same in every dimension. */
export function equal(a: Resources, b: Resources): boolean {
  return fits(a, b) && fits(b, a);
}

/** Whether `need` fits into `free` in every dimension. */
export function fits(need: Resources, free: Resources): boolean {
  return need.cpuMillis <= free.cpuMillis &&
    need.memoryMib <= free.memoryMib &&
    need.accelerators <= free.accelerators &&
    need.slots <= free.slots;
}

/** The largest part that `need` takes of `whole` in any dimension, 0 to 1 and above. */
export function dominantShare(need: Resources, whole: Resources): number {
  return Math.max(
    part(need.cpuMillis, whole.cpuMillis),
    part(need.memoryMib, whole.memoryMib),
    part(need.accelerators, whole.accelerators),
    part(need.slots, whole.slots),
  );
}

function eachOf(
  choose: (a: number, b: number) => number,
  { a, b }: { readonly a: Resources; readonly b: Resources },
): Resources {
  return {
    cpuMillis: choose(a.cpuMillis, b.cpuMillis),
    memoryMib: choose(a.memoryMib, b.memoryMib),
    accelerators: choose(a.accelerators, b.accelerators),
    slots: choose(a.slots, b.slots),
  };
}

function part(need: number, whole: number): number {
  if (need === 0) return 0;
  return whole === 0 ? Infinity : need / whole;
}
