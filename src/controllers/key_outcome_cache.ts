/**
 * Outcomes of the requests with idempotency keys that this instance handled as
 * their entry. A home that lacks the record of a key asks for them.
 *
 * @module
 */
import type { KeyLimits, TeamKey } from "../state/key_table.ts";
import type { Outcome } from "../types.ts";

/** A bounded cache of outcomes that evicts the oldest first. */
export class KeyOutcomeCache {
  readonly #limits: KeyLimits;
  readonly #outcomes = new Map<string, Outcome>();
  #chars = 0;

  constructor(limits: KeyLimits) {
    this.#limits = limits;
  }

  /** Adds an outcome unless it carries no answer or is too large. */
  add(key: TeamKey, outcome: Outcome): void {
    if (outcome.type !== "done") return;
    if (answerChars(outcome) > this.#limits.maxOutcomeChars) return;
    this.#remove(cacheKey(key));
    this.#outcomes.set(cacheKey(key), outcome);
    this.#chars += answerChars(outcome);
    this.#evict();
  }

  /** The outcome of a key's request. */
  get(key: TeamKey): Outcome | undefined {
    return this.#outcomes.get(cacheKey(key));
  }

  #evict(): void {
    const { maxKeys, maxTotalOutcomeChars } = this.#limits;
    for (const name of this.#outcomes.keys()) {
      const isWithin = this.#outcomes.size <= maxKeys &&
        this.#chars <= maxTotalOutcomeChars;
      if (isWithin) return;
      this.#remove(name);
    }
  }

  #remove(name: string): void {
    const outcome = this.#outcomes.get(name);
    if (outcome === undefined) return;
    this.#chars -= answerChars(outcome);
    this.#outcomes.delete(name);
  }
}

function answerChars(outcome: Outcome): number {
  return outcome.type === "done" ? outcome.answer.body.length : 0;
}

function cacheKey({ team, key }: TeamKey): string {
  return JSON.stringify([team, key]);
}
