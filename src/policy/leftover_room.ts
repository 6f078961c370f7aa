/**
 * Room that requests take which nobody accounts for.
 *
 * @module
 */
import { elementwiseMax } from "../resources.ts";
import type { Resources } from "../types.ts";

/** Bounds from above what `count` requests take; of some that may be among them the needs are known. */
export function leftoverRoom(
  count: number,
  known: {
    readonly needs: readonly Resources[];
    readonly capacity: Resources;
    /** The most that a request of any workload takes. */
    readonly most: Resources;
  },
): Resources {
  const each = elementwiseMax(oneSlot(known.capacity), known.most);
  const most = (dimension: keyof Resources) =>
    known.needs.map((need) => need[dimension])
      .concat(Array<number>(count).fill(each[dimension]))
      .sort((a, b) => b - a)
      .slice(0, count)
      .reduce((sum, amount) => sum + amount, 0);
  return {
    cpuMillis: most("cpuMillis"),
    memoryMib: most("memoryMib"),
    accelerators: most("accelerators"),
    slots: most("slots"),
  };
}

/** What a request of unknown workload is taken to use. */
function oneSlot(capacity: Resources): Resources {
  const slots = Math.max(1, capacity.slots);
  return {
    cpuMillis: Math.floor(capacity.cpuMillis / slots),
    memoryMib: Math.floor(capacity.memoryMib / slots),
    accelerators: 0,
    slots: 1,
  };
}
