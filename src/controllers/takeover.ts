/**
 * Determines which members' units may be taken over, and whether the voters
 * know the current map.
 *
 * @module
 */
import type { Peers } from "../ports/peers.ts";
import type { Condition, Store } from "../ports/store.ts";
import { hasReleaseQuorum } from "../state/continuation.ts";
import { electorateOf } from "../state/ownership_map.ts";
import {
  epochCall,
  MEMBERS_PREFIX,
  REGISTRATIONS_PREFIX,
  releaseCall,
} from "./cluster_protocol.ts";
import type { Membership } from "./membership.ts";

/** Dependencies of a {@linkcode Takeover}. */
export interface TakeoverOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
}

/** A lease holder whose units may be taken over. */
export interface TakeoverClaim {
  readonly holder: string;
  /** Conditions of the takeover write: the holder has not registered again since its release. */
  readonly conditions: readonly Condition[];
}

/** Queries the voters about members that may be dead and about the map. */
export class Takeover {
  readonly #options: TakeoverOptions;

  constructor(options: TakeoverOptions) {
    this.#options = options;
  }

  /** Members of the map that may be dead because their member keys are missing. */
  suspects(): readonly string[] {
    const { view } = this.#options.membership;
    return [...view.map.members.values()]
      .filter((member) => member.standing !== "lost")
      .map((member) => member.instance.id)
      .filter((id) => !view.registered.has(id));
  }

  /**
   * Takeovers that are allowed now; none until the store has been reachable for
   * a whole lease duration.
   */
  async claims(): Promise<readonly TakeoverClaim[]> {
    if (!this.#options.membership.storeUpForLease()) return [];
    const claims = await Promise.all(
      this.suspects().map((id) => this.#claim(id)),
    );
    return claims.filter((claim) => claim !== undefined);
  }

  /** Whether joining members exist and every voter that is not gone knows this instance's map. */
  async votersKnowJoining(): Promise<boolean> {
    const { membership } = this.#options;
    const { voters, joining } = electorateOf(membership.view.map);
    if (joining.size === 0) return false;
    const { epoch } = membership.view.map;
    const gone = membership.gone();
    const voterIds = [...voters].filter((id) => !gone.has(id));
    const knownEpochs = await Promise.all(
      voterIds.map((id) => this.#epochOf(id, epoch)),
    );
    return knownEpochs.every((each) => each >= epoch);
  }

  async #claim(holder: string): Promise<TakeoverClaim | undefined> {
    const { store, membership } = this.#options;
    const key = REGISTRATIONS_PREFIX + holder;
    const entry = await store.get(key);
    if (entry.isErr()) return undefined;
    const registration = Number(entry.value?.value ?? 1);
    const conditions = [
      { key: MEMBERS_PREFIX + holder, revision: 0 },
      { key, revision: entry.value?.revision ?? 0 },
    ];
    if (membership.gone().has(holder)) return { holder, conditions };
    const released = await this.#hasReleaseQuorum({ id: holder, registration });
    return released ? { holder, conditions } : undefined;
  }

  async #hasReleaseQuorum(
    holder: { readonly id: string; readonly registration: number },
  ): Promise<boolean> {
    const { membership } = this.#options;
    const { voters } = electorateOf(membership.view.map);
    const gone = membership.gone();
    const releasingVoters = new Set(gone);
    const voterIds = [...voters]
      .filter((id) => id !== holder.id && !gone.has(id));
    await Promise.all(voterIds.map(async (id) => {
      if (await this.#isReleasedBy(id, holder)) releasingVoters.add(id);
    }));
    return hasReleaseQuorum(voters, releasingVoters);
  }

  async #isReleasedBy(
    voter: string,
    holder: { readonly id: string; readonly registration: number },
  ): Promise<boolean> {
    const { membership, peers } = this.#options;
    if (voter === membership.self.id) return membership.release(holder) === 0;
    const answer = await peers.call(voter, releaseCall, {
      params: { holder: holder.id, registration: holder.registration },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    return answer.isOk() && answer.value.waitMs === 0;
  }

  async #epochOf(voter: string, epoch: number): Promise<number> {
    const { membership, peers } = this.#options;
    if (voter === membership.self.id) return membership.view.map.epoch;
    const answer = await peers.call(voter, epochCall, {
      params: { epoch },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    return answer.map((known) => known.epoch).unwrapOr(-1);
  }
}
