/**
 * Orders of waiting work.
 *
 * @module
 */

/** What the order of waiting work depends on. */
export interface Ordered {
  readonly arrivedAtMs: number;
  readonly dueAtMs?: number;
}

/** Orders by due time, then by arrival. */
export function byDueThenArrival(a: Ordered, b: Ordered): number {
  const dueA = a.dueAtMs ?? Infinity;
  const dueB = b.dueAtMs ?? Infinity;
  return dueA === dueB ? a.arrivedAtMs - b.arrivedAtMs : dueA < dueB ? -1 : 1;
}
