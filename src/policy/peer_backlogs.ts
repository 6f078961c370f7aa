/**
 * Backlogs of the other instances, from their latest load reports.
 *
 * @module
 */
import { type PeerCandidate, toPeerCandidate } from "./selection.ts";
import { byDueThenArrival } from "./order.ts";
import type { Backlog } from "./waiting_queue.ts";

interface PeerBacklog {
  readonly subQueue: string;
  /** Key of pending requests to the origin for this sub-queue. */
  readonly requestKey: string;
  readonly candidate: PeerCandidate;
  readonly receivedAtMs: number;
}

/** Backlogs of one urgency, team and workload at all peers. */
interface SubQueue {
  readonly byOrigin: Map<string, PeerBacklog>;
  /** The cached best backlog; absent if it has to be recomputed. */
  best: PeerBacklog | undefined;
}

/** Maximum random reduction of a backlog's age, so that instances don't all request work from the same origin. */
const MAX_AGE_JITTER_MS = 10;
/** How long a report of urgent work is valid. */
export const URGENT_REPORT_TTL_MS = 4;

/** Backlogs of the peers, less the items that this instance has already requested. */
export class PeerBacklogs {
  readonly #subQueues = new Map<string, SubQueue>();
  readonly #byOrigin = new Map<string, readonly PeerBacklog[]>();
  readonly #pendingRequests = new Map<string, number>();
  readonly #random: () => number;

  /** `random` returns numbers in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Replaces the backlogs of one origin. */
  set(
    origin: string,
    report: {
      readonly backlogs: readonly Backlog[];
      readonly receivedAtMs: number;
    },
  ): void {
    for (const entry of this.#byOrigin.get(origin) ?? []) this.#drop(entry);
    const entries = report.backlogs.map((backlog) =>
      this.#toPeerBacklog(backlog, {
        origin,
        receivedAtMs: report.receivedAtMs,
      })
    );
    for (const entry of entries) this.#add(entry);
    this.#byOrigin.set(origin, entries);
  }

  /** Removes an origin and its pending requests. */
  forget(origin: string): void {
    this.set(origin, { backlogs: [], receivedAtMs: 0 });
    this.#byOrigin.delete(origin);
    for (const key of this.#pendingRequests.keys()) {
      if (key.startsWith(`${origin} `)) this.#pendingRequests.delete(key);
    }
  }

  /**
   * The work that can be requested, at most one candidate for each urgency, team and workload.
   * Urgent work is included only while its origin keeps reporting it.
   */
  *candidates(nowMs: number): Generator<PeerCandidate> {
    for (const subQueue of this.#subQueues.values()) {
      if (subQueue.best === undefined || isStale(subQueue.best, nowMs)) {
        this.#findBest(subQueue, nowMs);
      }
      if (subQueue.best !== undefined) yield subQueue.best.candidate;
    }
  }

  /** Records a request for one item at the candidate's origin. */
  recordRequest(candidate: PeerCandidate): void {
    this.#changePending(candidate, 1);
  }

  /** Records that such a request was answered or has timed out. */
  recordResponse(candidate: PeerCandidate): void {
    this.#changePending(candidate, -1);
  }

  #toPeerBacklog(
    backlog: Backlog,
    from: { readonly origin: string; readonly receivedAtMs: number },
  ): PeerBacklog {
    const jitterMs = this.#random() * MAX_AGE_JITTER_MS;
    const candidate = toPeerCandidate(backlog, { ...from, jitterMs });
    const subQueue = subQueueKeyOf(candidate);
    const requestKey = `${from.origin} ${subQueue}`;
    return { subQueue, requestKey, candidate, receivedAtMs: from.receivedAtMs };
  }

  #add(entry: PeerBacklog): void {
    const subQueue = this.#subQueues.get(entry.subQueue) ??
      { byOrigin: new Map(), best: undefined };
    subQueue.byOrigin.set(entry.candidate.origin, entry);
    subQueue.best = undefined;
    this.#subQueues.set(entry.subQueue, subQueue);
  }

  #drop(entry: PeerBacklog): void {
    const subQueue = this.#subQueues.get(entry.subQueue);
    if (subQueue === undefined) return;
    subQueue.byOrigin.delete(entry.candidate.origin);
    subQueue.best = undefined;
    if (subQueue.byOrigin.size === 0) this.#subQueues.delete(entry.subQueue);
  }

  #findBest(subQueue: SubQueue, nowMs: number): void {
    subQueue.best = undefined;
    for (const entry of subQueue.byOrigin.values()) {
      if (isStale(entry, nowMs)) this.#drop(entry);
      else if (this.#hasUnrequested(entry) && precedes(entry, subQueue.best)) {
        subQueue.best = entry;
      }
    }
  }

  #hasUnrequested(entry: PeerBacklog): boolean {
    return entry.candidate.count >
      (this.#pendingRequests.get(entry.requestKey) ?? 0);
  }

  #changePending(candidate: PeerCandidate, change: number): void {
    const subQueueKey = subQueueKeyOf(candidate);
    const requestKey = `${candidate.origin} ${subQueueKey}`;
    const pending = (this.#pendingRequests.get(requestKey) ?? 0) + change;
    if (pending > 0) this.#pendingRequests.set(requestKey, pending);
    else this.#pendingRequests.delete(requestKey);
    const subQueue = this.#subQueues.get(subQueueKey);
    if (subQueue !== undefined) subQueue.best = undefined;
  }
}

function isStale(entry: PeerBacklog, nowMs: number): boolean {
  return entry.candidate.urgency === "urgent" &&
    nowMs - entry.receivedAtMs > URGENT_REPORT_TTL_MS;
}

function precedes(a: PeerBacklog, b: PeerBacklog | undefined): boolean {
  return b === undefined || byDueThenArrival(a.candidate, b.candidate) < 0;
}

function subQueueKeyOf(candidate: PeerCandidate): string {
  return `${candidate.urgency} ${candidate.team} ${candidate.workload}`;
}
