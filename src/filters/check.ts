/**
 * Refuses requests that can never run: for workloads that answer none, and
 * for those that fit no worker.
 *
 * @module
 */
import type { Outcome, Reason, Resources } from "../types.ts";
import type { Exchange, Filter } from "./chain.ts";

/** What the check depends on. */
export interface CheckOptions {
  /** Whether any worker of the fleet could hold a need. */
  readonly couldEverFit: (need: Resources) => boolean;
}

/** Makes the filter. */
export function check(options: CheckOptions): Filter {
  return (exchange, next) => {
    const reason = faultOf(exchange, options);
    if (reason === undefined) return next(exchange);
    return Promise.resolve<Outcome>({ type: "notRun", reason });
  };
}

function faultOf(
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
