/**
 * Chain of filters for callers' requests: each filter answers a request or
 * passes it to the next one.
 *
 * @module
 */
import type { Queue, Workload } from "../operator_set.ts";
import type { Outcome } from "../types.ts";

/** A workload that answers requests. */
export type Service = Workload & { readonly kind: "service" };

/** A caller's request, with the values that filters have resolved. */
export interface Exchange {
  readonly id: string;
  readonly workload: string;
  readonly method: string;
  /** Path below the path of the workload, with the query. */
  readonly path: string;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  /** Body in base64. */
  readonly body: string;
  /** The team's key; absent if the caller sent none. */
  readonly key?: string;
  /** Monotonic milliseconds of the arrival. */
  readonly arrivedAtMs: number;
  /** Whether the caller has closed its connection. */
  readonly abandoned: () => boolean;
  /** Team, service and queue are resolved by filters. */
  readonly team?: string;
  readonly service?: Service;
  readonly queue?: Queue;
}

/** Passes a request to the rest of the chain. */
export type Next = (exchange: Exchange) => Promise<Outcome>;

/** Answers a request, or passes it on unchanged or with resolved values. */
export type Filter = (exchange: Exchange, next: Next) => Promise<Outcome>;

/** Combines filters, in their order, and the last step into one function. */
export function chain(filters: readonly Filter[], last: Next): Next {
  return filters.reduceRight<Next>(
    (next, filter) => (exchange) => filter(exchange, next),
    last,
  );
}
