/**
 * Finds out which members' units may be taken, and which voters know the map.
 *
 * @module
 */
import type { Peers } from "../ports/peers.ts";
import type { Condition, Store } from "../ports/store.ts";
import { releasesSuffice } from "../state/continuation.ts";
import { electorateOf } from "../state/ownership_map.ts";
import {
  epochCall,
  MEMBERS_PREFIX,
  REGISTRATIONS_PREFIX,
  releaseCall,
} from "./cluster_protocol.ts";
import type { Membership } from "./membership.ts";

/** What a {@linkcode Takeover} works with. */
export interface TakeoverOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
}

/** A holder whose units may be taken. */
export interface Claim {
  readonly holder: string;
  /** Must hold when the units are taken: the holder has not come back since it was released. */
  readonly conditions: readonly Condition[];
}

/** Asks the other members on behalf of this one. */
export class Takeover {
  readonly #options: TakeoverOptions;

  constructor(options: TakeoverOptions) {
    this.#options = options;
  }

  /** Members of the map that may have died, as their keys are gone. */
  suspects(): readonly string[] {
    const { view } = this.#options.membership;
    return [...view.map.members.values()]
      .filter((member) => member.standing !== "lost")
      .map((member) => member.instance.id)
      .filter((id) => !view.registered.has(id));
  }

  /** Claims that hold right now; none until the store has been up for a whole lease. */
  async claims(): Promise<readonly Claim[]> {
    if (!this.#options.membership.reachIsSettled()) return [];
    const claims = await Promise.all(
      this.suspects().map((id) => this.#claim(id)),
    );
    return claims.filter((claim) => claim !== undefined);
  }

  /** Whether every voter that is not gone knows the map of this instance. */
  async enrolled(): Promise<boolean> {
    const { membership } = this.#options;
    const { voters, joining } = electorateOf(membership.view.map);
    if (joining.size === 0) return false;
    const { epoch } = membership.view.map;
    const gone = membership.gone();
    const asked = [...voters].filter((id) => !gone.has(id));
    const known = await Promise.all(
      asked.map((id) => this.#epochOf(id, epoch)),
    );
    return known.every((each) => each >= epoch);
  }

  async #claim(holder: string): Promise<Claim | undefined> {
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
    const released = await this.#released({ id: holder, registration });
    return released ? { holder, conditions } : undefined;
  }

  async #released(
    holder: { readonly id: string; readonly registration: number },
  ): Promise<boolean> {
    const { membership } = this.#options;
    const { voters } = electorateOf(membership.view.map);
    const gone = membership.gone();
    const released = new Set(gone);
    const asked = [...voters]
      .filter((id) => id !== holder.id && !gone.has(id));
    await Promise.all(asked.map(async (id) => {
      if (await this.#releasedBy(id, holder)) released.add(id);
    }));
    return releasesSuffice(voters, released);
  }

  async #releasedBy(
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
