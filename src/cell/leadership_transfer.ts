/**
 * Transfer of leadership from the leader to another instance.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { orderSuccessors, strongerMembers } from "./candidates.ts";
import type { LeaderTerm, Member } from "./leader_record.ts";
import { transferCall } from "./protocol.ts";
import type { Membership } from "./membership.ts";

/** Time before a leader on a weak machine first offers leadership to stronger ones, and between two offers, milliseconds; the stronger machines may still be starting. */
const OFFER_INTERVAL_MS = 2_000;
/** Timeout of a call that asks an instance to take over, milliseconds. */
const TRANSFER_CALL_TIMEOUT_MS = 1_500;
/** Time after which an exiting leader stops looking for a successor, milliseconds: a third of the shortest grace period. */
const TRANSFER_TIMEOUT_MS = 2_000;
/** Pause before all candidates are asked again, milliseconds. */
const RETRY_DELAY_MS = 300;

/** Dependencies of {@linkcode LeadershipTransfer}. */
export interface LeadershipTransferOptions {
  readonly self: Member;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly log: Log;
  /** This process's term, if it has one. */
  readonly term: () => LeaderTerm | undefined;
  /** Names of the other instances, the best successor first. */
  readonly rankedCandidates: () => readonly string[];
}

/** Finds a successor and asks it to take over. */
export class LeadershipTransfer {
  readonly #options: LeadershipTransferOptions;
  /** Time of the next offer to stronger machines, monotonic milliseconds. */
  #nextOfferMs = 0;

  constructor(options: LeadershipTransferOptions) {
    this.#options = options;
  }

  /** Call when a term of this process starts. */
  termStarted(): void {
    this.#nextOfferMs = this.#options.clock.monotonic() + OFFER_INTERVAL_MS;
  }

  /** Transfers leadership before the process exits; `false` if no instance took it. */
  async transferBeforeExit(): Promise<boolean> {
    const { clock, membership } = this.#options;
    const deadlineMs = clock.monotonic() + TRANSFER_TIMEOUT_MS;
    // A candidate declines while it is running a suspicion check.
    while (!await this.#offer(this.#reachableCandidates())) {
      const isAlone = membership.members.length === 0;
      if (isAlone || clock.monotonic() > deadlineMs) return false;
      await sleep(clock, RETRY_DELAY_MS);
    }
    return true;
  }

  /** Offers leadership to reachable members on stronger machines; `undefined` if no offer is due or there are none. */
  offerToStronger(): Promise<boolean> | undefined {
    const { clock, membership, self } = this.#options;
    if (clock.monotonic() < this.#nextOfferMs) return undefined;
    const reachable = new Set(membership.reachable());
    const stronger = strongerMembers(self, membership.members)
      .filter((name) => reachable.has(name));
    if (stronger.length === 0) return undefined;
    this.#nextOfferMs = clock.monotonic() + OFFER_INTERVAL_MS;
    return this.#offer(stronger);
  }

  /** Candidates that replied recently, the best successor first. A dead one would cost a full call timeout. */
  #reachableCandidates(): readonly string[] {
    const { rankedCandidates, membership } = this.#options;
    const reachable = new Set(membership.reachable());
    const candidates = rankedCandidates().filter((name) => reachable.has(name));
    return orderSuccessors(candidates, membership.members);
  }

  /** Asks instances one by one to take over, until one has; `false` if none did. */
  async #offer(names: readonly string[]): Promise<boolean> {
    const { peers, log } = this.#options;
    const term = this.#options.term();
    if (term === undefined) return true;
    for (const name of names) {
      const reply = await peers.call(name, transferCall, {
        params: { fence: term.fence },
        timeoutMs: TRANSFER_CALL_TIMEOUT_MS,
      });
      const taken = reply.unwrapOr(false);
      log.info("hold.yielded", { fence: term.fence, to: name, taken });
      if (taken) return true;
    }
    return false;
  }
}
