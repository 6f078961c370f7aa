/**
 * Rejects requests that can never run: those for workloads that are not
 * services, and those that fit no worker.
 *
 * @module
 */
import type { Outcome, Reason, Resources } from "../types.ts";
import type { Exchange, Filter } from "./chain.ts";

/** Dependencies of the filter. */
export interface CheckOptions {
  /** Whether any worker of the fleet, when empty, has the capacity for `need`. */
  readonly couldEverFit: (need: Resources) => boolean;
}

/** Creates the filter. */
export function check(options: CheckOptions): Filter {
  return (exchange, next) => {
    const reason = rejectionOf(exchange, options);
    if (reason === undefined) return next(exchange);
    return Promise.resolve<Outcome>({ type: "notRun", reason });
  };
}

function rejectionOf(
  { service, workload }: Exchange,
  { couldEverFit }: CheckOptions,
): Reason | undefined {
  if (service === undefined) {
    const detail = "only services answer requests; submit this as work";
    return { type: "badRequest", detail };
  }
  return couldEverFit(service.resources)
    ? undefined
    : { type: "neverFits", workload };
}
