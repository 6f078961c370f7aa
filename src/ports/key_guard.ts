/**
 * Interface through which the filter chain detects repeated requests by their
 * idempotency keys.
 *
 * @module
 */
import type { Outcome } from "../types.ts";

/** State of an idempotency key when a request arrives. */
export type IdempotencyKeyState =
  /** The key was not seen before. It is now recorded, and the request may run. */
  | { readonly type: "fresh" }
  /** An earlier request with this key is still running. */
  | { readonly type: "inProgress" }
  /** An earlier request with this key has ended with this outcome. */
  | { readonly type: "ended"; readonly outcome: Outcome }
  /** Whether a request with this key has run is unknown. */
  | { readonly type: "forgotten" }
  /** The instance that stores this key cannot be reached; nothing was recorded. */
  | { readonly type: "homeAway"; readonly retryAfterMs: number };

/** Records idempotency keys, each before its request is sent upstream. */
export interface IdempotencyGuard {
  /** Records a new key, or returns the state of an earlier request with the same key. */
  begin(team: string, key: string): Promise<IdempotencyKeyState>;
  /** Records the outcome of a request that `begin` allowed to run. */
  finish(team: string, key: string, outcome: Outcome): Promise<void>;
}
