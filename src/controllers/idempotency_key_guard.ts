/**
 * Adapts the idempotency keys to the interface that the filter chain uses.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type {
  IdempotencyGuard,
  IdempotencyKeyState,
} from "../ports/key_guard.ts";
import type { KeyUse } from "../state/key_table.ts";
import type { Outcome } from "../types.ts";
import type { IdempotencyKeys } from "./idempotency_keys.ts";

/** Longest time from the begin of a request to its answer, milliseconds. */
const MAX_REQUEST_MS = 900_000;

/** Keeps the key use of each request in progress. */
export class IdempotencyKeyGuard implements IdempotencyGuard {
  readonly #keys: IdempotencyKeys;
  readonly #clock: Clock;
  readonly #uses = new Map<string, KeyUse>();

  constructor(keys: IdempotencyKeys, clock: Clock) {
    this.#keys = keys;
    this.#clock = clock;
  }

  async begin(team: string, key: string): Promise<IdempotencyKeyState> {
    const deadline = this.#clock.now().getTime() + MAX_REQUEST_MS;
    const verdict = await this.#keys.begin({ team, key }, deadline);
    switch (verdict.type) {
      case "proceed":
        this.#uses.set(mapKey(team, key), verdict.use);
        return { type: "fresh" };
      case "inProgress":
        return { type: "inProgress" };
      case "answer":
        return { type: "ended", outcome: verdict.outcome };
    }
  }

  /**
   * Returns without waiting for the home, so that the caller gets its answer at
   * once.
   */
  finish(team: string, key: string, outcome: Outcome): Promise<void> {
    const use = this.#uses.get(mapKey(team, key));
    this.#uses.delete(mapKey(team, key));
    if (use !== undefined) void this.#keys.finish(use, outcome);
    return Promise.resolve();
  }
}

function mapKey(team: string, key: string): string {
  return JSON.stringify([team, key]);
}
