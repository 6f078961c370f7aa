/**
 * What waits at the other instances, as last heard.
 *
 * @module
 */
import { candidateOf, type PeerCandidate } from "./choice.ts";
import type { Backlog } from "./waiting.ts";

/** Backlogs of peers, less what this instance has already asked for. */
export class PeerBacklogs {
  readonly #candidates = new Map<string, readonly PeerCandidate[]>();
  readonly #claims = new Map<string, number>();

  /** Replaces what is known of a holder. */
  set(
    holder: string,
    news: {
      readonly backlogs: readonly Backlog[];
      readonly receivedAtMs: number;
    },
  ): void {
    const { backlogs, receivedAtMs } = news;
    this.#candidates.set(
      holder,
      backlogs.map((backlog) => candidateOf(backlog, { holder, receivedAtMs })),
    );
  }

  /** Forgets a holder and what was asked of it. */
  forget(holder: string): void {
    this.#candidates.delete(holder);
    for (const key of this.#claims.keys()) {
      if (key.startsWith(`${holder} `)) this.#claims.delete(key);
    }
  }

  /** What could be asked for. */
  *candidates(): Generator<PeerCandidate> {
    for (const candidates of this.#candidates.values()) {
      for (const candidate of candidates) {
        if (candidate.count > this.#claimed(candidate)) yield candidate;
      }
    }
  }

  /** Notes that the holder was asked for one item. */
  claim(candidate: PeerCandidate): void {
    this.#claims.set(keyOf(candidate), this.#claimed(candidate) + 1);
  }

  /** Notes that the holder answered, or that the answer is no longer expected. */
  settle(candidate: PeerCandidate): void {
    const claims = this.#claimed(candidate) - 1;
    if (claims > 0) this.#claims.set(keyOf(candidate), claims);
    else this.#claims.delete(keyOf(candidate));
  }

  #claimed(candidate: PeerCandidate): number {
    return this.#claims.size === 0
      ? 0
      : this.#claims.get(keyOf(candidate)) ?? 0;
  }
}

function keyOf(candidate: PeerCandidate): string {
  const { holder, urgency, team, workload } = candidate;
  return `${holder} ${urgency} ${team} ${workload}`;
}
