/**
 * The team limits in the form that the dispatching controllers use.
 *
 * @module
 */
import type { Allowances } from "../ports/authority.ts";
import type { Limits } from "./limits.ts";

/** Implements {@linkcode Allowances} by {@linkcode Limits}. */
export class TeamAllowances implements Allowances {
  readonly #limits: Limits;
  readonly #onGained: (team: string) => void;

  /** `onGained` is called when a team may have more work running. */
  constructor(limits: Limits, onGained: (team: string) => void) {
    this.#limits = limits;
    this.#onGained = onGained;
    limits.onGranted(onGained);
  }

  tryTake(team: string): boolean {
    return this.#limits.tryTake(team);
  }

  available(team: string): number {
    return this.#limits.available(team);
  }

  want(team: string, count: number): void {
    this.#limits.want(team, count);
  }

  limitOf(team: string): number | undefined {
    return this.#limits.limitOf(team);
  }

  give(team: string): void {
    this.#limits.give(team);
    this.#onGained(team);
  }

  adopt(team: string, count: number): void {
    this.#limits.adopt(team, count);
  }
}
