/**
 * What waits at the other instances, as last heard.
 *
 * @module
 */
import { candidateOf, type PeerCandidate } from "./choice.ts";
import type { Backlog } from "./waiting.ts";

interface Entry {
  readonly key: string;
  readonly candidate: PeerCandidate;
}

/** Backlogs of peers, less what this instance has already asked for. */
export class PeerBacklogs {
  readonly #entries = new Map<string, readonly Entry[]>();
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
    const entries = backlogs.map((backlog) => {
      const candidate = candidateOf(backlog, { holder, receivedAtMs });
      return { key: keyOf(candidate), candidate };
    });
    this.#entries.set(holder, entries);
  }

  /** Forgets a holder and what was asked of it. */
  forget(holder: string): void {
    this.#entries.delete(holder);
    for (const key of this.#claims.keys()) {
      if (key.startsWith(`${holder} `)) this.#claims.delete(key);
    }
  }

  /** What could be asked for. */
  *candidates(): Generator<PeerCandidate> {
    for (const entries of this.#entries.values()) {
      for (const { key, candidate } of entries) {
        if (candidate.count > (this.#claims.get(key) ?? 0)) yield candidate;
      }
    }
  }

  /** Notes that the holder was asked for one item. */
  claim(candidate: PeerCandidate): void {
    const key = keyOf(candidate);
    this.#claims.set(key, (this.#claims.get(key) ?? 0) + 1);
  }

  /** Notes that the holder answered, or that the answer is no longer expected. */
  settle(candidate: PeerCandidate): void {
    const key = keyOf(candidate);
    const claims = (this.#claims.get(key) ?? 0) - 1;
    if (claims > 0) this.#claims.set(key, claims);
    else this.#claims.delete(key);
  }
}

function keyOf(candidate: PeerCandidate): string {
  const { holder, urgency, team, workload } = candidate;
  return `${holder} ${urgency} ${team} ${workload}`;
}
