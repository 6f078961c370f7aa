/**
 * What waits at the other instances, as last heard.
 *
 * @module
 */
import { candidateOf, type PeerCandidate } from "./choice.ts";
import { byDueThenArrival } from "./order.ts";
import type { Backlog } from "./waiting.ts";

interface Entry {
  readonly lane: string;
  /** Key of what was asked of this holder. */
  readonly claim: string;
  readonly candidate: PeerCandidate;
  readonly receivedAtMs: number;
}

/** One team and workload over all peers. */
interface Lane {
  readonly byHolder: Map<string, Entry>;
  /** The entry to offer; absent while it has to be found anew. */
  best: Entry | undefined;
}

/** Largest random difference in age by which an instance's view of a backlog is changed. */
const JITTER_MS = 10;
/** How long an announcement of urgent work is acted on. */
export const URGENT_NEWS_MS = 4;

/** Backlogs of peers, less what this instance has already asked for. */
export class PeerBacklogs {
  readonly #lanes = new Map<string, Lane>();
  readonly #byHolder = new Map<string, readonly Entry[]>();
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
    for (const entry of this.#byHolder.get(holder) ?? []) this.#drop(entry);
    const entries = news.backlogs.map((backlog) =>
      this.#entry(backlog, { holder, receivedAtMs: news.receivedAtMs })
    );
    for (const entry of entries) this.#add(entry);
    this.#byHolder.set(holder, entries);
  }

  /** Forgets a holder and what was asked of it. */
  forget(holder: string): void {
    this.set(holder, { backlogs: [], receivedAtMs: 0 });
    this.#byHolder.delete(holder);
    for (const key of this.#claims.keys()) {
      if (key.startsWith(`${holder} `)) this.#claims.delete(key);
    }
  }

  /**
   * What could be asked for, the first for each team and workload; urgent work
   * only as long as its holder keeps announcing it.
   */
  *candidates(nowMs: number): Generator<PeerCandidate> {
    for (const lane of this.#lanes.values()) {
      if (lane.best === undefined || isStale(lane.best, nowMs)) {
        this.#findBest(lane, nowMs);
      }
      if (lane.best !== undefined) yield lane.best.candidate;
    }
  }

  /** Notes that the holder was asked for one item. */
  claim(candidate: PeerCandidate): void {
    this.#countClaim(candidate, 1);
  }

  /** Notes that the holder answered, or that the answer is no longer expected. */
  settle(candidate: PeerCandidate): void {
    this.#countClaim(candidate, -1);
  }

  #entry(
    backlog: Backlog,
    from: { readonly holder: string; readonly receivedAtMs: number },
  ): Entry {
    const jitterMs = this.#random() * JITTER_MS;
    const candidate = candidateOf(backlog, { ...from, jitterMs });
    const lane = laneOf(candidate);
    const claim = `${from.holder} ${lane}`;
    return { lane, claim, candidate, receivedAtMs: from.receivedAtMs };
  }

  #add(entry: Entry): void {
    const lane = this.#lanes.get(entry.lane) ??
      { byHolder: new Map(), best: undefined };
    lane.byHolder.set(entry.candidate.holder, entry);
    lane.best = undefined;
    this.#lanes.set(entry.lane, lane);
  }

  #drop(entry: Entry): void {
    const lane = this.#lanes.get(entry.lane);
    if (lane === undefined) return;
    lane.byHolder.delete(entry.candidate.holder);
    lane.best = undefined;
    if (lane.byHolder.size === 0) this.#lanes.delete(entry.lane);
  }

  #findBest(lane: Lane, nowMs: number): void {
    lane.best = undefined;
    for (const entry of lane.byHolder.values()) {
      if (isStale(entry, nowMs)) this.#drop(entry);
      else if (this.#isOpen(entry) && precedes(entry, lane.best)) {
        lane.best = entry;
      }
    }
  }

  #isOpen(entry: Entry): boolean {
    return entry.candidate.count > (this.#claims.get(entry.claim) ?? 0);
  }

  #countClaim(candidate: PeerCandidate, change: number): void {
    const lane = laneOf(candidate);
    const key = `${candidate.holder} ${lane}`;
    const claims = (this.#claims.get(key) ?? 0) + change;
    if (claims > 0) this.#claims.set(key, claims);
    else this.#claims.delete(key);
    const known = this.#lanes.get(lane);
    if (known !== undefined) known.best = undefined;
  }
}

function isStale(entry: Entry, nowMs: number): boolean {
  return entry.candidate.urgency === "urgent" &&
    nowMs - entry.receivedAtMs > URGENT_NEWS_MS;
}

function precedes(a: Entry, b: Entry | undefined): boolean {
  return b === undefined || byDueThenArrival(a.candidate, b.candidate) < 0;
}

function laneOf(candidate: PeerCandidate): string {
  return `${candidate.urgency} ${candidate.team} ${candidate.workload}`;
}
