/**
 * Order of waiting work.
 *
 * @module
 */

/** Times that determine the order of waiting work. */
export interface Ordered {
  readonly arrivedAtMs: number;
  readonly dueAtMs?: number;
}

/** Compares by due time, then by arrival; work without a due time is last. */
export function byDueThenArrival(a: Ordered, b: Ordered): number {
  const dueA = a.dueAtMs ?? Infinity;
  const dueB = b.dueAtMs ?? Infinity;
  return dueA === dueB ? a.arrivedAtMs - b.arrivedAtMs : dueA < dueB ? -1 : 1;
}
