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

interface News {
  readonly receivedAtMs: number;
  readonly entries: readonly Entry[];
}

/** Largest random difference in age by which an instance's view of a backlog is changed. */
const JITTER_MS = 10;
/** How long an announcement of urgent work is acted on. */
export const URGENT_NEWS_MS = 4;

/** Backlogs of peers, less what this instance has already asked for. */
export class PeerBacklogs {
  readonly #news = new Map<string, News>();
  readonly #claims = new Map<string, number>();
  readonly #random: () => number;

  /** `random` gives numbers in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

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
      const jitterMs = this.#random() * JITTER_MS;
      const candidate = candidateOf(backlog, {
        holder,
        receivedAtMs,
        jitterMs,
      });
      return { key: keyOf(candidate), candidate };
    });
    this.#news.set(holder, { receivedAtMs, entries });
  }

  /** Forgets a holder and what was asked of it. */
  forget(holder: string): void {
    this.#news.delete(holder);
    for (const key of this.#claims.keys()) {
      if (key.startsWith(`${holder} `)) this.#claims.delete(key);
    }
  }

  /** What could be asked for; urgent work only as long as its holder keeps announcing it. */
  *candidates(nowMs: number): Generator<PeerCandidate> {
    for (const { receivedAtMs, entries } of this.#news.values()) {
      const stale = nowMs - receivedAtMs > URGENT_NEWS_MS;
      for (const { key, candidate } of entries) {
        if (stale && candidate.urgency === "urgent") continue;
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
