/**
 * Whether the store is reachable from this instance, and since when.
 *
 * @module
 */

/** State of the connection to the store; `sinceMs` is monotonic time. */
export type Reachability =
  | { readonly type: "unknown" }
  | { readonly type: "up"; readonly sinceMs: number }
  | { readonly type: "away"; readonly sinceMs: number };

/** Derives the reachability of the store from the outcomes of calls to it. */
export class StoreReachability {
  readonly #silenceMs: number;
  #state: Reachability = { type: "unknown" };
  #answeredAtMs = -Infinity;

  /** The store counts as unreachable (`away`) after `silenceMs` without an answer. */
  constructor(silenceMs: number) {
    this.#silenceMs = silenceMs;
  }

  /** Records that the store has answered a call. */
  recordAnswer(nowMs: number): void {
    const wasDown = this.stateAt(nowMs).type !== "up";
    if (wasDown) this.#state = { type: "up", sinceMs: nowMs };
    this.#answeredAtMs = nowMs;
  }

  /** Records that a call to the store has failed. */
  recordFailure(nowMs: number): void {
    if (this.#state.type === "away") return;
    this.#state = { type: "away", sinceMs: nowMs };
  }

  /** State at `nowMs` (monotonic time). */
  stateAt(nowMs: number): Reachability {
    const isSilent = nowMs - this.#answeredAtMs > this.#silenceMs;
    if (this.#state.type === "up" && isSilent) {
      this.#state = {
        type: "away",
        sinceMs: this.#answeredAtMs + this.#silenceMs,
      };
    }
    return this.#state;
  }

  /** Milliseconds for which the store has been reachable without interruption; 0 if it is not. */
  upForMs(nowMs: number): number {
    const state = this.stateAt(nowMs);
    return state.type === "up" ? nowMs - state.sinceMs : 0;
  }
}
