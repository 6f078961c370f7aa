/**
 * What this instance knows of its peers' room, backlog and usage, from their
 * news and from what it has asked of them since.
 *
 * @module
 */
import {
  type Candidate,
  candidateOf,
  type PeerCandidate,
} from "../policy/choice.ts";
import type { Backlog } from "../policy/waiting.ts";
import { add, fits, subtract, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import type { LoadReport } from "../wire/dispatch.ts";

/** News older than this is not acted on, milliseconds. */
const STALE_MS = 3_000;

interface Neighbour {
  sequence: number;
  receivedAtMs: number;
  free: Resources;
  largest: Resources;
  capacity: Resources;
  backlog: Map<string, Backlog & { count: number }>;
  usage: ReadonlyMap<string, Resources>;
  spare: Map<string, number>;
}

/** Work as far as it decides where it may go. */
type Errand = Pick<Candidate, "team" | "need" | "urgency">;

/** The peers by instance id. */
export class Neighbours {
  readonly #known = new Map<string, Neighbour>();
  readonly #isLimited: (team: string) => boolean;

  /** `isLimited`: whether a team has an upper limit. */
  constructor(isLimited: (team: string) => boolean) {
    this.#isLimited = isLimited;
  }

  /** Takes news in; `false` if newer news was there already. */
  heard(peer: string, news: LoadReport, nowMs: number): boolean {
    const known = this.#known.get(peer);
    if (known !== undefined && known.sequence >= news.sequence) return false;
    this.#known.set(peer, {
      sequence: news.sequence,
      receivedAtMs: nowMs,
      free: news.free,
      largest: news.largest,
      capacity: news.capacity,
      backlog: new Map(news.backlog.map((lane) => [laneOf(lane), { ...lane }])),
      usage: new Map(Object.entries(news.usage)),
      spare: new Map(Object.entries(news.spare)),
    });
    return true;
  }

  /** Forgets a peer. */
  forget(peer: string): void {
    this.#known.delete(peer);
  }

  /** The peer with the most room for some work; `undefined` if none is known to have any. */
  withRoom(
    { team, need, urgency }: Errand,
    nowMs: number,
  ): string | undefined {
    let best: string | undefined;
    let most = 0;
    for (const [peer, known] of this.#fresh(nowMs)) {
      const room = fits(need, known.free) && fits(need, known.largest);
      if (!room || known.free.slots <= most) continue;
      if (urgency === "deferred" && known.backlog.size > 0) continue;
      if (this.#isLimited(team) && (known.spare.get(team) ?? 0) <= 0) continue;
      best = peer;
      most = known.free.slots;
    }
    return best;
  }

  /** Notes that room was asked of a peer. */
  spend(peer: string, { team, need }: Pick<Errand, "team" | "need">): void {
    const known = this.#known.get(peer);
    if (known === undefined) return;
    known.free = subtract(known.free, need);
    known.spare.set(team, (known.spare.get(team) ?? 0) - 1);
  }

  /** Notes that a peer may start no more work of a team. */
  atLimit(peer: string, team: string): void {
    this.#known.get(peer)?.spare.delete(team);
  }

  /** Notes that a peer has no room after all. */
  exhausted(peer: string): void {
    const known = this.#known.get(peer);
    if (known !== undefined) known.free = zeroResources;
  }

  /** What waits at the peers. */
  *waiting(nowMs: number): Generator<PeerCandidate> {
    for (const [holder, known] of this.#fresh(nowMs)) {
      const { receivedAtMs } = known;
      for (const lane of known.backlog.values()) {
        if (lane.count > 0) {
          yield candidateOf(lane, { holder, receivedAtMs, jitterMs: 0 });
        }
      }
    }
  }

  /** Notes that room was offered to work that waits at a peer. */
  offered(candidate: PeerCandidate): void {
    const lane = this.#known.get(candidate.holder)?.backlog
      .get(laneOf(candidate));
    if (lane !== undefined) lane.count--;
  }

  /** Notes that nothing of a kind waits at a peer any more. */
  declined(peer: string, lane: Pick<Backlog, "team" | "workload" | "urgency">) {
    this.#known.get(peer)?.backlog.delete(laneOf(lane));
  }

  /** What every team has running on the peers' workers. */
  usage(): Map<string, Resources> {
    const total = new Map<string, Resources>();
    for (const known of this.#known.values()) {
      for (const [team, used] of known.usage) {
        total.set(team, add(total.get(team) ?? zeroResources, used));
      }
    }
    return total;
  }

  /** What the peers' workers offer. */
  capacity(): Resources {
    return [...this.#known.values()]
      .reduce((sum, known) => add(sum, known.capacity), zeroResources);
  }

  *#fresh(nowMs: number): Generator<[string, Neighbour]> {
    for (const entry of this.#known) {
      if (nowMs - entry[1].receivedAtMs < STALE_MS) yield entry;
    }
  }
}

function laneOf(lane: Pick<Backlog, "team" | "workload" | "urgency">): string {
  return `${lane.urgency} ${lane.team} ${lane.workload}`;
}
