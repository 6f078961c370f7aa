/**
 * Memory of callers' idempotency keys, as the filter chain sees it.
 *
 * @module
 */
import type { Outcome } from "../types.ts";

/** What is known of an idempotency key. */
export type KeyState =
  /** Not seen before; it is now recorded, and the request may run. */
  | { readonly type: "fresh" }
  /** A request with this key is running. */
  | { readonly type: "inProgress" }
  /** A request with this key has ended. */
  | { readonly type: "ended"; readonly outcome: Outcome }
  /** Nobody can say whether a request with this key has run. */
  | { readonly type: "forgotten" }
  /** The key's home instance cannot be reached; nothing was recorded. */
  | { readonly type: "homeAway"; readonly retryAfterMs: number };

/** Records each key before the first byte of its request goes upstream. */
export interface KeyGuard {
  begin(team: string, key: string): Promise<KeyState>;
  finish(team: string, key: string, outcome: Outcome): Promise<void>;
}
