/**
 * Refuses at once what this instance cannot answer for: while it stops, has
 * no configuration or has lost contact.
 *
 * @module
 */
import type { Outcome, Reason } from "../types.ts";
import type { Filter } from "./chain.ts";

/** Time after which another instance has taken over, milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** What admission depends on. */
export interface Admission {
  readonly stopping: () => boolean;
  readonly configured: () => boolean;
  readonly inContact: () => boolean;
}

/** Why nothing is admitted now; `undefined` if all is well. */
export function refusalOf(admission: Admission): Reason | undefined {
  if (admission.stopping()) return { type: "stopping" };
  if (!admission.configured()) return { type: "notConfigured" };
  if (!admission.inContact()) return { type: "isolated" };
  return undefined;
}

/** Makes the filter. */
export function admit(admission: Admission): Filter {
  return (exchange, next) => {
    const reason = refusalOf(admission);
    if (reason === undefined) return next(exchange);
    const refusal: Outcome = {
      type: "notRun",
      reason,
      retryAfterMs: RETRY_AFTER_MS,
    };
    return Promise.resolve(refusal);
  };
}
