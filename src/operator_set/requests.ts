/**
 * What the requests of the services in a set take.
 *
 * @module
 */
import type { Workload } from "../operator_set.ts";
import { largest, noResources } from "../resources.ts";
import type { Resources } from "../types.ts";

/** The most that one request of any service takes in each dimension. */
export function largestRequestOf(workloads: Iterable<Workload>): Resources {
  return [...workloads]
    .filter(({ kind }) => kind === "service")
    .map(({ resources }) => resources)
    .reduce(largest, noResources);
}
