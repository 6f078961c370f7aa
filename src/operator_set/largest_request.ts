/**
 * Resources that the requests of the services in an operator set need.
 *
 * @module
 */
import type { Workload } from "../operator_set.ts";
import { elementwiseMax, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";

/** For each dimension, the largest amount that one request of any service needs. */
export function largestRequestOf(workloads: Iterable<Workload>): Resources {
  return [...workloads]
    .filter(({ kind }) => kind === "service")
    .map(({ resources }) => resources)
    .reduce(elementwiseMax, zeroResources);
}
