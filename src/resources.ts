/**
 * Arithmetic on {@linkcode Resources}.
 *
 * @module
 */
import type { Resources } from "./types.ts";

/** Zero in every dimension. */
export const zeroResources: Resources = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 0,
};

/** `a` plus `b` in each dimension. */
export function add(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMib: a.memoryMib + b.memoryMib,
    accelerators: a.accelerators + b.accelerators,
    slots: a.slots + b.slots,
  };
}

/** `a` minus `b` in each dimension; the result may be negative. */
export function subtract(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMib: a.memoryMib - b.memoryMib,
    accelerators: a.accelerators - b.accelerators,
    slots: a.slots - b.slots,
  };
}

/** Maximum of two amounts in each dimension. */
export function elementwiseMax(a: Resources, b: Resources): Resources {
  return combine(Math.max, { a, b });
}

/** Minimum of two amounts in each dimension. */
export function elementwiseMin(a: Resources, b: Resources): Resources {
  return combine(Math.min, { a, b });
}

/** Whether two amounts are equal in every dimension. */
export function equal(a: Resources, b: Resources): boolean {
  return fits(a, b) && fits(b, a);
}

/** Whether `need` is at most `free` in every dimension. */
export function fits(need: Resources, free: Resources): boolean {
  return need.cpuMillis <= free.cpuMillis &&
    need.memoryMib <= free.memoryMib &&
    need.accelerators <= free.accelerators &&
    need.slots <= free.slots;
}

/**
 * The dominant share: the largest fraction of `whole` that `need` takes in any dimension. Above 1 if `need` exceeds
 * `whole`, `Infinity` if it needs a resource of which `whole` has none.
 */
export function dominantShare(need: Resources, whole: Resources): number {
  return Math.max(
    fraction(need.cpuMillis, whole.cpuMillis),
    fraction(need.memoryMib, whole.memoryMib),
    fraction(need.accelerators, whole.accelerators),
    fraction(need.slots, whole.slots),
  );
}

function combine(
  operation: (a: number, b: number) => number,
  { a, b }: { readonly a: Resources; readonly b: Resources },
): Resources {
  return {
    cpuMillis: operation(a.cpuMillis, b.cpuMillis),
    memoryMib: operation(a.memoryMib, b.memoryMib),
    accelerators: operation(a.accelerators, b.accelerators),
    slots: operation(a.slots, b.slots),
  };
}

function fraction(need: number, whole: number): number {
  if (need === 0) return 0;
  return whole === 0 ? Infinity : need / whole;
}
