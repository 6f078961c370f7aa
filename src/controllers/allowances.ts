/**
 * The team limits as the dispatching controllers use them.
 *
 * @module
 */
import type { Allowances } from "../ports/authority.ts";
import type { Limits } from "./limits.ts";

/** {@linkcode Allowances} from {@linkcode Limits}. */
export class TeamAllowances implements Allowances {
  readonly #limits: Limits;
  readonly #gained: (team: string) => void;

  /** `gained` is told when a team may have more running than before. */
  constructor(limits: Limits, gained: (team: string) => void) {
    this.#limits = limits;
    this.#gained = gained;
    limits.onGranted(gained);
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
    this.#gained(team);
  }

  adopt(team: string, count: number): void {
    this.#limits.adopt(team, count);
  }
}
