/**
 * The team limits as the dispatching controllers use them.
 *
 * @module
 */
import type { RunPermits } from "../ports/authority.ts";
import type { Limits } from "./limits.ts";

/** {@linkcode RunPermits} from {@linkcode Limits}. */
export class TeamAllowances implements RunPermits {
  readonly #limits: Limits;
  readonly #gained: (team: string) => void;

  /** `gained` is told when a team may have more running than before. */
  constructor(limits: Limits, gained: (team: string) => void) {
    this.#limits = limits;
    this.#gained = gained;
    limits.onGranted(gained);
  }

  tryAcquire(team: string): boolean {
    return this.#limits.tryTake(team);
  }

  available(team: string): number {
    return this.#limits.available(team);
  }

  request(team: string, count: number): void {
    this.#limits.want(team, count);
  }

  limitOf(team: string): number | undefined {
    return this.#limits.limitOf(team);
  }

  release(team: string): void {
    this.#limits.give(team);
    this.#gained(team);
  }

  adopt(team: string, count: number): void {
    this.#limits.adopt(team, count);
  }
}
