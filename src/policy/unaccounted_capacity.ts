/**
 * Capacity used by unaccounted requests.
 *
 * @module
 */
import { elementwiseMax } from "../resources.ts";
import type { Resources } from "../types.ts";

/**
 * Upper bound of the capacity that `count` unaccounted requests use. The needs of some requests
 * that may be among them are known.
 */
export function unaccountedCapacity(
  count: number,
  requests: {
    readonly needs: readonly Resources[];
    readonly capacity: Resources;
    /** Maximum need of a request of any workload. */
    readonly maxNeed: Resources;
  },
): Resources {
  const maxPerRequest = elementwiseMax(
    averagePerSlot(requests.capacity),
    requests.maxNeed,
  );
  const sumOfLargest = (dimension: keyof Resources) =>
    requests.needs.map((need) => need[dimension])
      .concat(Array<number>(count).fill(maxPerRequest[dimension]))
      .sort((a, b) => b - a)
      .slice(0, count)
      .reduce((sum, amount) => sum + amount, 0);
  return {
    cpuMillis: sumOfLargest("cpuMillis"),
    memoryMib: sumOfLargest("memoryMib"),
    accelerators: sumOfLargest("accelerators"),
    slots: sumOfLargest("slots"),
  };
}

/** Assumed need of a request of unknown workload: an equal share of the worker for each slot. */
function averagePerSlot(capacity: Resources): Resources {
  const slots = Math.max(1, capacity.slots);
  return {
    cpuMillis: Math.floor(capacity.cpuMillis / slots),
    memoryMib: Math.floor(capacity.memoryMib / slots),
    accelerators: 0,
    slots: 1,
  };
}
