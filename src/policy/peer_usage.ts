/**
 * Usage of teams at the other instances, from their latest load reports.
 *
 * @module
 */
import { add, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import type { Shares } from "./shares.ts";

/** Charges the shares with the teams' usage at peers, including work dispatched since the last report. */
export class PeerUsage {
  readonly #usage = new Map<string, Map<string, Resources>>();
  readonly #shares: Pick<Shares, "charge" | "refund">;

  constructor(shares: Pick<Shares, "charge" | "refund">) {
    this.#shares = shares;
  }

  /** Replaces the usage at a peer. */
  set(peer: string, usage: ReadonlyMap<string, Resources>): void {
    this.forget(peer);
    for (const [team, used] of usage) this.#shares.charge(team, used);
    this.#usage.set(peer, new Map(usage));
  }

  /** Charges work dispatched to a peer until its next report includes it. */
  recordDispatch(
    peer: string,
    work: { readonly team: string; readonly need: Resources },
  ): void {
    const { team, need } = work;
    const usage = this.#usage.get(peer) ?? new Map<string, Resources>();
    usage.set(team, add(usage.get(team) ?? zeroResources, need));
    this.#usage.set(peer, usage);
    this.#shares.charge(team, need);
  }

  /** Removes a peer and refunds its usage. */
  forget(peer: string): void {
    for (const [team, used] of this.#usage.get(peer) ?? []) {
      this.#shares.refund(team, used);
    }
    this.#usage.delete(peer);
  }
}
