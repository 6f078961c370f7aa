/**
 * The filter chain's view of the homes of idempotency keys.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type {
  IdempotencyGuard,
  IdempotencyKeyState,
} from "../ports/key_guard.ts";
import type { KeyUse } from "../state/key_memory.ts";
import type { Outcome } from "../types.ts";
import type { HomeKeys } from "./home_keys.ts";

/** A request is answered within so long of its begin, milliseconds. */
const LONGEST_REQUEST_MS = 900_000;

/** Remembers which use of a key each running request made. */
export class HomeKeyGuard implements IdempotencyGuard {
  readonly #keys: HomeKeys;
  readonly #clock: Clock;
  readonly #uses = new Map<string, KeyUse>();

  constructor(keys: HomeKeys, clock: Clock) {
    this.#keys = keys;
    this.#clock = clock;
  }

  async begin(team: string, key: string): Promise<IdempotencyKeyState> {
    const deadline = this.#clock.now().getTime() + LONGEST_REQUEST_MS;
    const verdict = await this.#keys.begin({ team, key }, deadline);
    switch (verdict.type) {
      case "proceed":
        this.#uses.set(nameOf(team, key), verdict.use);
        return { type: "fresh" };
      case "inProgress":
        return { type: "inProgress" };
      case "answer":
        return { type: "ended", outcome: verdict.outcome };
    }
  }

  /** Does not wait for the home, so that the caller has its answer at once. */
  finish(team: string, key: string, outcome: Outcome): Promise<void> {
    const use = this.#uses.get(nameOf(team, key));
    this.#uses.delete(nameOf(team, key));
    if (use !== undefined) void this.#keys.finish(use, outcome);
    return Promise.resolve();
  }
}

function nameOf(team: string, key: string): string {
  return JSON.stringify([team, key]);
}
