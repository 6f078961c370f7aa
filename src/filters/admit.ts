/**
 * Rejects all requests while this instance is stopping, has no configuration or
 * is isolated.
 *
 * @module
 */
import type { Outcome, Reason } from "../types.ts";
import type { Filter } from "./chain.ts";

/** Suggested retry delay: by then another instance has taken over. */
const TAKEOVER_RETRY_DELAY_MS = 1_000;

/** State of the instance that decides on admission. */
export interface Admission {
  /** Whether the instance is shutting down. */
  readonly stopping: () => boolean;
  /** Whether a configuration is active. */
  readonly configured: () => boolean;
  /** Whether the instance's lease is valid; false while it is isolated. */
  readonly inContact: () => boolean;
}

/** Reason to reject all requests now; `undefined` if they are admitted. */
export function rejectionReason(admission: Admission): Reason | undefined {
  if (admission.stopping()) return { type: "stopping" };
  if (!admission.configured()) return { type: "notConfigured" };
  if (!admission.inContact()) return { type: "isolated" };
  return undefined;
}

/** Creates the filter. */
export function admit(admission: Admission): Filter {
  return (exchange, next) => {
    const reason = rejectionReason(admission);
    if (reason === undefined) return next(exchange);
    const rejection: Outcome = {
      type: "notRun",
      reason,
      retryAfterMs: TAKEOVER_RETRY_DELAY_MS,
    };
    return Promise.resolve(rejection);
  };
}
