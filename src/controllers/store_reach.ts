/**
 * Whether this instance reaches the store, and since when.
 *
 * @module
 */

/** What is known of the way to the store. */
export type Reach =
  | { readonly type: "unknown" }
  | { readonly type: "up"; readonly sinceMs: number }
  | { readonly type: "away"; readonly sinceMs: number };

/** Follows the outcomes of calls to the store. */
export class StoreReach {
  readonly #silenceMs: number;
  #reach: Reach = { type: "unknown" };
  #answeredAtMs = -Infinity;

  /** `silenceMs` without an answer counts as away. */
  constructor(silenceMs: number) {
    this.#silenceMs = silenceMs;
  }

  answered(nowMs: number): void {
    const restarted = this.at(nowMs).type !== "up";
    if (restarted) this.#reach = { type: "up", sinceMs: nowMs };
    this.#answeredAtMs = nowMs;
  }

  failed(nowMs: number): void {
    if (this.#reach.type === "away") return;
    this.#reach = { type: "away", sinceMs: nowMs };
  }

  at(nowMs: number): Reach {
    const silent = nowMs - this.#answeredAtMs > this.#silenceMs;
    if (this.#reach.type === "up" && silent) {
      this.#reach = {
        type: "away",
        sinceMs: this.#answeredAtMs + this.#silenceMs,
      };
    }
    return this.#reach;
  }

  /** Milliseconds for which the store has answered without a break; 0 if it does not. */
  upForMs(nowMs: number): number {
    const reach = this.at(nowMs);
    return reach.type === "up" ? nowMs - reach.sinceMs : 0;
  }
}
