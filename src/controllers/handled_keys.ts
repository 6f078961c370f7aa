/**
 * Outcomes of the keyed requests that this instance handled as their entry,
 * kept so that a home without memory can ask for them.
 *
 * @module
 */
import type { KeyLimits, TeamKey } from "../state/key_memory.ts";
import type { Outcome } from "../types.ts";

/** Bounded; the oldest go first. */
export class HandledKeys {
  readonly #limits: KeyLimits;
  readonly #outcomes = new Map<string, Outcome>();
  #chars = 0;

  constructor(limits: KeyLimits) {
    this.#limits = limits;
  }

  /** Remembers an outcome, unless it says nothing or is too large. */
  add(key: TeamKey, outcome: Outcome): void {
    if (outcome.type !== "done") return;
    if (charsOf(outcome) > this.#limits.largestOutcomeChars) return;
    this.#remove(nameOf(key));
    this.#outcomes.set(nameOf(key), outcome);
    this.#chars += charsOf(outcome);
    this.#shed();
  }

  /** The outcome of a key. */
  get(key: TeamKey): Outcome | undefined {
    return this.#outcomes.get(nameOf(key));
  }

  #shed(): void {
    const { keys, outcomeChars } = this.#limits;
    for (const name of this.#outcomes.keys()) {
      const isWithin = this.#outcomes.size <= keys &&
        this.#chars <= outcomeChars;
      if (isWithin) return;
      this.#remove(name);
    }
  }

  #remove(name: string): void {
    const outcome = this.#outcomes.get(name);
    if (outcome === undefined) return;
    this.#chars -= charsOf(outcome);
    this.#outcomes.delete(name);
  }
}

function charsOf(outcome: Outcome): number {
  return outcome.type === "done" ? outcome.answer.body.length : 0;
}

function nameOf({ team, key }: TeamKey): string {
  return JSON.stringify([team, key]);
}
