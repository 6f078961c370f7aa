/**
 * The team limits as the dispatching controllers use them.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type {
  Allowances,
  LimitFailure as AllowanceFailure,
} from "../ports/authority.ts";
import type { LimitFailure, Limits } from "./limits.ts";

/** Time to come back after while a team's home cannot be asked, milliseconds. */
const HOME_RETRY_MS = 500;

/** {@linkcode Allowances} from {@linkcode Limits}. */
export class TeamAllowances implements Allowances {
  readonly #limits: Limits;
  readonly #limitOf: (team: string) => number | undefined;
  readonly #given: (team: string) => void;

  /** `given` is told when a team has one fewer running. */
  constructor(
    limits: Limits,
    options: {
      readonly limitOf: (team: string) => number | undefined;
      readonly given: (team: string) => void;
    },
  ) {
    this.#limits = limits;
    this.#limitOf = options.limitOf;
    this.#given = options.given;
  }

  tryTake(team: string): boolean {
    return this.#limits.tryTake(team);
  }

  take(team: string, timeoutMs: number): ResultAsync<void, AllowanceFailure> {
    return this.#limits.take(team, timeoutMs)
      .mapErr((failure) => this.#translate(failure));
  }

  give(team: string): void {
    this.#limits.give(team);
    this.#given(team);
  }

  adopt(team: string, count: number): void {
    this.#limits.adopt(team, count);
  }

  #translate(failure: LimitFailure): AllowanceFailure {
    if (failure.type === "homeAway") {
      return { ...failure, retryAfterMs: HOME_RETRY_MS };
    }
    return { ...failure, limit: this.#limitOf(failure.team) ?? 0 };
  }
}
