/**
 * What this instance knows of its peers' free capacity, backlog and usage:
 * their load reports, adjusted by what has been requested from them since.
 *
 * @module
 */
import {
  type Candidate,
  type PeerCandidate,
  toPeerCandidate,
} from "../policy/selection.ts";
import type { Backlog } from "../policy/waiting_queue.ts";
import { add, fits, subtract, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import type { LoadReport } from "../wire/dispatch.ts";

/** Load reports older than this are ignored, milliseconds. */
const MAX_REPORT_AGE_MS = 3_000;

interface PeerLoad {
  sequence: number;
  receivedAtMs: number;
  free: Resources;
  largest: Resources;
  capacity: Resources;
  backlog: Map<string, Backlog & { count: number }>;
  usage: ReadonlyMap<string, Resources>;
  spare: Map<string, number>;
}

/** The properties of work that decide which peers can run it. */
type WorkProfile = Pick<Candidate, "team" | "need" | "urgency">;

/** Load of the peers by instance id. */
export class PeerLoads {
  readonly #loads = new Map<string, PeerLoad>();
  readonly #isLimited: (team: string) => boolean;

  /** `isLimited` returns whether a team has an upper limit. */
  constructor(isLimited: (team: string) => boolean) {
    this.#isLimited = isLimited;
  }

  /** Stores a load report; `false` if a newer one is stored already. */
  update(peer: string, report: LoadReport, nowMs: number): boolean {
    const load = this.#loads.get(peer);
    if (load !== undefined && load.sequence >= report.sequence) return false;
    this.#loads.set(peer, {
      sequence: report.sequence,
      receivedAtMs: nowMs,
      free: report.free,
      largest: report.largest,
      capacity: report.capacity,
      backlog: new Map(
        report.backlog.map((entry) => [backlogKey(entry), { ...entry }]),
      ),
      usage: new Map(Object.entries(report.usage)),
      spare: new Map(Object.entries(report.spare)),
    });
    return true;
  }

  /** Removes a peer. */
  remove(peer: string): void {
    this.#loads.delete(peer);
  }

  /**
   * The peer with the most free slots that can run some work; `undefined` if no
   * peer is known to have free capacity for it.
   */
  peerWithCapacity(
    { team, need, urgency }: WorkProfile,
    nowMs: number,
  ): string | undefined {
    let best: string | undefined;
    let mostSlots = 0;
    for (const [peer, load] of this.#fresh(nowMs)) {
      const hasCapacity = fits(need, load.free) && fits(need, load.largest);
      if (!hasCapacity || load.free.slots <= mostSlots) continue;
      if (urgency === "deferred" && load.backlog.size > 0) continue;
      if (this.#isLimited(team) && (load.spare.get(team) ?? 0) <= 0) continue;
      best = peer;
      mostSlots = load.free.slots;
    }
    return best;
  }

  /** Subtracts the resources of work that is pushed to a peer. */
  recordPush(
    peer: string,
    { team, need }: Pick<WorkProfile, "team" | "need">,
  ): void {
    const load = this.#loads.get(peer);
    if (load === undefined) return;
    load.free = subtract(load.free, need);
    load.spare.set(team, (load.spare.get(team) ?? 0) - 1);
  }

  /** Records that a peer may start no more work of a team. */
  markAtLimit(peer: string, team: string): void {
    this.#loads.get(peer)?.spare.delete(team);
  }

  /** Records that a peer has no free capacity, contrary to its report. */
  markExhausted(peer: string): void {
    const load = this.#loads.get(peer);
    if (load !== undefined) load.free = zeroResources;
  }

  /** Work that waits at the peers. */
  *waitingWork(nowMs: number): Generator<PeerCandidate> {
    for (const [origin, load] of this.#fresh(nowMs)) {
      const { receivedAtMs } = load;
      for (const entry of load.backlog.values()) {
        if (entry.count > 0) {
          yield toPeerCandidate(entry, {
            origin,
            receivedAtMs,
            jitterMs: 0,
          });
        }
      }
    }
  }

  /** Records that capacity was offered to an item that waits at a peer. */
  recordOffer(candidate: PeerCandidate): void {
    const entry = this.#loads.get(candidate.origin)?.backlog
      .get(backlogKey(candidate));
    if (entry !== undefined) entry.count--;
  }

  /** Removes a backlog entry of a peer at which no such work waits any more. */
  recordDecline(
    peer: string,
    entry: Pick<Backlog, "team" | "workload" | "urgency">,
  ) {
    this.#loads.get(peer)?.backlog.delete(backlogKey(entry));
  }

  /** Resources that each team uses on the peers' workers. */
  usage(): Map<string, Resources> {
    const total = new Map<string, Resources>();
    for (const load of this.#loads.values()) {
      for (const [team, used] of load.usage) {
        total.set(team, add(total.get(team) ?? zeroResources, used));
      }
    }
    return total;
  }

  /** Total capacity of the peers' workers. */
  capacity(): Resources {
    return [...this.#loads.values()]
      .reduce((sum, load) => add(sum, load.capacity), zeroResources);
  }

  *#fresh(nowMs: number): Generator<[string, PeerLoad]> {
    for (const entry of this.#loads) {
      if (nowMs - entry[1].receivedAtMs < MAX_REPORT_AGE_MS) yield entry;
    }
  }
}

function backlogKey(
  entry: Pick<Backlog, "team" | "workload" | "urgency">,
): string {
  return `${entry.urgency} ${entry.team} ${entry.workload}`;
}
