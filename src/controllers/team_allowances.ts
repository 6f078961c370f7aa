/**
 * The team limits in the form that the dispatching controllers use.
 *
 * @module
 */
import type { RunPermits } from "../ports/authority.ts";
import type { Limits } from "./limits.ts";

/** Implements {@linkcode RunPermits} by {@linkcode Limits}. */
export class TeamAllowances implements RunPermits {
  readonly #limits: Limits;
  readonly #onGained: (team: string) => void;

  /** `onGained` is called when a team may have more work running. */
  constructor(limits: Limits, onGained: (team: string) => void) {
    this.#limits = limits;
    this.#onGained = onGained;
    limits.onGranted(onGained);
  }

  tryAcquire(team: string): boolean {
    return this.#limits.tryAcquire(team);
  }

  available(team: string): number {
    return this.#limits.available(team);
  }

  request(team: string, count: number): void {
    this.#limits.request(team, count);
  }

  limitOf(team: string): number | undefined {
    return this.#limits.limitOf(team);
  }

  release(team: string): void {
    this.#limits.release(team);
    this.#onGained(team);
  }

  adopt(team: string, count: number): void {
    this.#limits.adopt(team, count);
  }
}
