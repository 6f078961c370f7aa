/**
 * Promises between members that let a holder go on past its lease while the
 * store is away.
 *
 * A holder goes on while a strict majority of the voters, itself included,
 * has confirmed it. A taker needs the release of at least half of them. No
 * voter both confirms and releases one registration of a holder at the same
 * time, so one of the two always fails.
 *
 * @module
 */

/** Times of the promises, in milliseconds. */
export interface ContinuationTiming {
  /** Life of a confirmation. */
  readonly confirmMs: number;
  /** How long before its end the holder stops relying on a confirmation. */
  readonly leaseMarginMs: number;
}

/** Who votes. A member in `joining` becomes a voter when every voter knows of it. */
export interface Electorate {
  readonly voters: ReadonlySet<string>;
  readonly joining: ReadonlySet<string>;
}

/** Confirmations that a holder has in hand. */
export class ConfirmationsInHand {
  readonly #timing: ContinuationTiming;
  readonly #validUntilMs = new Map<string, number>();

  constructor(timing: ContinuationTiming) {
    this.#timing = timing;
  }

  /** Takes note of a confirmation for `forMs`; `sentAtMs` is from before the question was sent. */
  confirmed(
    peer: string,
    confirmation: { readonly sentAtMs: number; readonly forMs: number },
  ): void {
    const { sentAtMs, forMs } = confirmation;
    const validUntilMs = sentAtMs + forMs - this.#timing.leaseMarginMs;
    const known = this.#validUntilMs.get(peer) ?? -Infinity;
    this.#validUntilMs.set(peer, Math.max(known, validUntilMs));
  }

  /** Whether strict majorities of the voters, with and without the joining ones, have confirmed. */
  sufficient(
    electorate: Electorate,
    at: { readonly self: string; readonly nowMs: number },
  ): boolean {
    const { voters, joining } = electorate;
    const everyone = new Set([...voters, ...joining]);
    if (!everyone.has(at.self)) return false;
    return this.#majority(voters, at) && this.#majority(everyone, at);
  }

  #majority(
    ids: ReadonlySet<string>,
    at: { readonly self: string; readonly nowMs: number },
  ): boolean {
    const agreed = [...ids].filter((id) =>
      id === at.self || at.nowMs < (this.#validUntilMs.get(id) ?? -Infinity)
    );
    return agreed.length * 2 > ids.size;
  }
}

/** One registration of a holder in the store. */
export interface Registered {
  readonly id: string;
  /** Grows by one with each registration of the same holder. */
  readonly registration: number;
}

/** Answer to a request to release a holder. */
export type Release =
  | { readonly type: "released" }
  | { readonly type: "wait"; readonly waitMs: number };

interface Promised {
  /** Highest registration of the holder that was released. */
  released: number;
  /** End of the last confirmation given. */
  confirmedUntilMs: number;
}

/** Promises that a member has given to others. */
export class PromisesGiven {
  readonly #timing: ContinuationTiming;
  readonly #promises = new Map<string, Promised>();

  constructor(timing: ContinuationTiming) {
    this.#timing = timing;
  }

  /** Confirms a registration of a holder unless it was released; gives for how long, 0 if not. */
  confirm(holder: Registered, nowMs: number): number {
    const { id, registration } = holder;
    const promised = this.#of(id);
    if (registration <= promised.released) return 0;
    promised.confirmedUntilMs = nowMs + this.#timing.confirmMs;
    return this.#timing.confirmMs;
  }

  /** Releases a registration of a holder once no confirmation is outstanding. */
  release(holder: Registered, nowMs: number): Release {
    const { id, registration } = holder;
    const promised = this.#of(id);
    if (registration <= promised.released) return { type: "released" };
    const waitMs = promised.confirmedUntilMs - nowMs;
    if (waitMs >= 0) return { type: "wait", waitMs: waitMs + 1 };
    promised.released = registration;
    return { type: "released" };
  }

  /** Milliseconds until the last confirmation given has ended. */
  outstandingMs(nowMs: number): number {
    const ends = [...this.#promises.values()].map((promised) =>
      promised.confirmedUntilMs - nowMs
    );
    return Math.max(0, ...ends);
  }

  /** Forgets holders that are no longer members. */
  keepOnly(holders: ReadonlySet<string>, nowMs: number): void {
    for (const [holder, promised] of this.#promises) {
      const ended = promised.confirmedUntilMs < nowMs;
      if (ended && !holders.has(holder)) this.#promises.delete(holder);
    }
  }

  #of(holder: string): Promised {
    const known = this.#promises.get(holder);
    if (known !== undefined) return known;
    const promised = { released: 0, confirmedUntilMs: -Infinity };
    this.#promises.set(holder, promised);
    return promised;
  }
}

/** Whether enough voters have released a holder, or are gone, for its units to be taken. */
export function releasesSuffice(
  voters: ReadonlySet<string>,
  released: ReadonlySet<string>,
): boolean {
  const count = [...voters].filter((id) => released.has(id)).length;
  return voters.size > 0 && count * 2 >= voters.size;
}
