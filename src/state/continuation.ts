/**
 * Promises between members that let a lease holder continue past the end of its
 * lease while the store is unreachable.
 *
 * A holder continues while a strict majority of the voters, itself included,
 * has confirmed it. A takeover needs the release of at least half of them. No
 * voter has one registration of a holder both confirmed and released at the
 * same time, so a confirmed holder can't be taken over.
 *
 * @module
 */

/** Durations of the promises, in milliseconds. */
export interface ContinuationTiming {
  /** Validity of a confirmation. */
  readonly confirmMs: number;
  /** Safety margin: the holder stops using a confirmation this long before it expires. */
  readonly leaseMarginMs: number;
}

/** Members that vote. A member in `joining` becomes a voter when every voter has it in its map. */
export interface Electorate {
  readonly voters: ReadonlySet<string>;
  readonly joining: ReadonlySet<string>;
}

/** Confirmations that a lease holder has received. */
export class ReceivedConfirmations {
  readonly #timing: ContinuationTiming;
  readonly #validUntilMs = new Map<string, number>();

  constructor(timing: ContinuationTiming) {
    this.#timing = timing;
  }

  /** Records a confirmation valid for `forMs`, counted from `sentAtMs`, taken before the request was sent. */
  recordConfirmation(
    peer: string,
    confirmation: { readonly sentAtMs: number; readonly forMs: number },
  ): void {
    const { sentAtMs, forMs } = confirmation;
    const validUntilMs = sentAtMs + forMs - this.#timing.leaseMarginMs;
    const known = this.#validUntilMs.get(peer) ?? -Infinity;
    this.#validUntilMs.set(peer, Math.max(known, validUntilMs));
  }

  /** Whether strict majorities of the voters, both with and without the joining members, have confirmed. */
  hasQuorum(
    electorate: Electorate,
    at: { readonly self: string; readonly nowMs: number },
  ): boolean {
    const { voters, joining } = electorate;
    const everyone = new Set([...voters, ...joining]);
    if (!everyone.has(at.self)) return false;
    return this.#hasMajority(voters, at) && this.#hasMajority(everyone, at);
  }

  #hasMajority(
    ids: ReadonlySet<string>,
    at: { readonly self: string; readonly nowMs: number },
  ): boolean {
    const agreed = [...ids].filter((id) =>
      id === at.self || at.nowMs < (this.#validUntilMs.get(id) ?? -Infinity)
    );
    return agreed.length * 2 > ids.size;
  }
}

/** One registration of a lease holder in the store. */
export interface HolderRegistration {
  readonly id: string;
  /** Increases by one with each registration of the same holder. */
  readonly registration: number;
}

/** Answer to a request to release a lease holder. */
export type Release =
  | { readonly type: "released" }
  | { readonly type: "wait"; readonly waitMs: number };

interface PromiseState {
  /** Highest released registration of the holder. */
  released: number;
  /** Monotonic milliseconds at which the last confirmation expires. */
  confirmedUntilMs: number;
}

/** Promises that a member has given to lease holders. */
export class VoterPromises {
  readonly #timing: ContinuationTiming;
  readonly #promises = new Map<string, PromiseState>();

  constructor(timing: ContinuationTiming) {
    this.#timing = timing;
  }

  /** Confirms a registration unless it was released. Returns the validity in milliseconds, 0 if released. */
  confirm(holder: HolderRegistration, nowMs: number): number {
    const { id, registration } = holder;
    const promised = this.#promisesTo(id);
    if (registration <= promised.released) return 0;
    promised.confirmedUntilMs = nowMs + this.#timing.confirmMs;
    return this.#timing.confirmMs;
  }

  /** Releases a registration, or returns the wait until its last confirmation has expired. */
  release(holder: HolderRegistration, nowMs: number): Release {
    const { id, registration } = holder;
    const promised = this.#promisesTo(id);
    if (registration <= promised.released) return { type: "released" };
    const waitMs = promised.confirmedUntilMs - nowMs;
    if (waitMs >= 0) return { type: "wait", waitMs: waitMs + 1 };
    promised.released = registration;
    return { type: "released" };
  }

  /** Milliseconds until every confirmation given has expired. */
  outstandingMs(nowMs: number): number {
    const ends = [...this.#promises.values()].map((promised) =>
      promised.confirmedUntilMs - nowMs
    );
    return Math.max(0, ...ends);
  }

  /** Removes holders that are no longer members and have no valid confirmation. */
  retainHolders(holders: ReadonlySet<string>, nowMs: number): void {
    for (const [holder, promised] of this.#promises) {
      const ended = promised.confirmedUntilMs < nowMs;
      if (ended && !holders.has(holder)) this.#promises.delete(holder);
    }
  }

  #promisesTo(holder: string): PromiseState {
    const known = this.#promises.get(holder);
    if (known !== undefined) return known;
    const promised = { released: 0, confirmedUntilMs: -Infinity };
    this.#promises.set(holder, promised);
    return promised;
  }
}

/**
 * Whether a holder's units may be taken over: at least half of the voters are in
 * `released`, that is, have released the holder or are gone.
 */
export function hasReleaseQuorum(
  voters: ReadonlySet<string>,
  released: ReadonlySet<string>,
): boolean {
  const count = [...voters].filter((id) => released.has(id)).length;
  return voters.size > 0 && count * 2 >= voters.size;
}
