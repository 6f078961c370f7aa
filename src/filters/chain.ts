/**
 * The chain that each request of a caller passes: every filter answers it or
 * hands it on.
 *
 * @module
 */
import type { Queue, Workload } from "../operator_set.ts";
import type { Outcome } from "../types.ts";

/** A service that answers requests. */
export type Service = Workload & { readonly kind: "service" };

/** A request as it came in. */
export interface Exchange {
  readonly id: string;
  readonly workload: string;
  readonly method: string;
  /** Path below the workload's, with query. */
  readonly path: string;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** The team's key; absent if none came with it. */
  readonly key?: string;
  readonly arrivedAtMs: number;
  /** Whether the caller has gone away. */
  readonly abandoned: () => boolean;
  /** Resolved by the filters on the way. */
  readonly team?: string;
  readonly service?: Service;
  readonly queue?: Queue;
}

/** Hands a request on. */
export type Next = (exchange: Exchange) => Promise<Outcome>;

/** Answers a request, or hands it on, perhaps changed. */
export type Filter = (exchange: Exchange, next: Next) => Promise<Outcome>;

/** Joins filters into one function; the first comes first. */
export function chain(filters: readonly Filter[], last: Next): Next {
  return filters.reduceRight<Next>(
    (next, filter) => (exchange) => filter(exchange, next),
    last,
  );
}
