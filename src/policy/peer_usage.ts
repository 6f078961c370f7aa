/**
 * What teams use at the other instances, as last heard.
 *
 * @module
 */
import { add, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import type { Shares } from "./shares.ts";

/** Usage of teams at peers, with what was sent there since, kept in the shares. */
export class PeerUsage {
  readonly #usage = new Map<string, Map<string, Resources>>();
  readonly #shares: Pick<Shares, "charge" | "refund">;

  constructor(shares: Pick<Shares, "charge" | "refund">) {
    this.#shares = shares;
  }

  /** Replaces what is known of a peer. */
  set(peer: string, usage: ReadonlyMap<string, Resources>): void {
    this.forget(peer);
    for (const [team, used] of usage) this.#shares.charge(team, used);
    this.#usage.set(peer, new Map(usage));
  }

  /** Counts work sent to a peer until the peer tells its usage again. */
  sent(
    peer: string,
    work: { readonly team: string; readonly need: Resources },
  ): void {
    const { team, need } = work;
    const usage = this.#usage.get(peer) ?? new Map<string, Resources>();
    usage.set(team, add(usage.get(team) ?? zeroResources, need));
    this.#usage.set(peer, usage);
    this.#shares.charge(team, need);
  }

  /** Forgets a peer. */
  forget(peer: string): void {
    for (const [team, used] of this.#usage.get(peer) ?? []) {
      this.#shares.refund(team, used);
    }
    this.#usage.delete(peer);
  }
}
