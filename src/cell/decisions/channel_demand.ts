/**
 * How long each queue has waited for a channel to the advice service, and what
 * a queue that has waited too long may do.
 *
 * Load pattern: few instances are left, and so few channels. Slow and medium
 * requests need an idle channel, which a stream of other requests may never
 * leave them, while channels that belong to other classes are idle in between.
 * So a queue that waits may first use idle channels of other classes. If it
 * still gets none, it claims one: the channel takes no other requests until
 * that of the queue is sent.
 *
 * @module
 */

/**
 * A queue may use idle channels of other classes after this many times the
 * duration of its requests.
 */
const BORROW_FACTOR = 0.5;
/**
 * A queue without any request in flight claims a channel after this many times
 * the duration of its requests.
 */
const CLAIM_FACTOR = 3;
/** Share of a channel that a queue gets by its claims alone. */
export const CLAIMED_SHARE = 1 / (1 + CLAIM_FACTOR);
/**
 * A queue waits for a channel if it wanted one within this time, milliseconds:
 * several scheduling passes, which are rare while they are long.
 */
const DEMAND_LIFETIME_MS = 500;

/** The same after a step had no request for a free channel, milliseconds. */
const UNUSED_LIFETIME_MS = 50;

/** Demand of one queue. */
interface Demand {
  /** Whether its requests are slow. */
  slow: boolean;
  /** Duration of a typical request, milliseconds. */
  typicalMs: number;
  /** When the queue was last refused a channel, monotonic milliseconds. */
  refusedMs: number;
  /** Since when it has wanted channels, monotonic milliseconds. */
  wantedSinceMs: number;
  inFlight: number;
  /** When its last request was sent, monotonic milliseconds. */
  sentMs: number;
  /** When its last request ended, monotonic milliseconds. */
  endedMs: number;
  /** When a request was last answered, monotonic milliseconds. */
  answeredMs: number;
}

/** Tracks the demand of all queues. Times are monotonic milliseconds. */
export class ChannelDemand {
  readonly #byQueue = new Map<string, Demand>();

  /** Records that a queue has a request to send and no channel for it. */
  recordRefusal(
    queue: string,
    { slow, typicalMs, nowMs }: {
      /** Whether the queue's requests are slow. */
      readonly slow: boolean;
      /** Duration of a typical request of the queue, milliseconds. */
      readonly typicalMs: number;
      readonly nowMs: number;
    },
  ): void {
    const demand = this.#demandOf(queue);
    demand.slow = slow;
    if (!isWaiting(demand, nowMs)) demand.wantedSinceMs = nowMs;
    demand.typicalMs = typicalMs;
    demand.refusedMs = nowMs;
  }

  /**
   * Records that a step of a queue had a free channel and no request to send.
   * Unless other steps of the queue are refused, it soon claims none any more.
   */
  recordUnused(queue: string, nowMs: number): void {
    const demand = this.#demandOf(queue);
    demand.refusedMs = Math.min(
      demand.refusedMs,
      nowMs - DEMAND_LIFETIME_MS + UNUSED_LIFETIME_MS,
    );
  }

  /** Records that a request of a queue was sent. */
  recordSent(
    queue: string,
    { slow, nowMs }: { readonly slow: boolean; readonly nowMs: number },
  ): void {
    const demand = this.#demandOf(queue);
    demand.slow = slow;
    demand.inFlight++;
    demand.sentMs = nowMs;
  }

  /**
   * Records that a request of a queue has ended. A request without an answer
   * does not make the queue wait any longer.
   */
  recordEnd(
    queue: string,
    { answered, nowMs }: { readonly answered: boolean; readonly nowMs: number },
  ): void {
    const demand = this.#demandOf(queue);
    demand.inFlight--;
    demand.endedMs = nowMs;
    if (answered) demand.answeredMs = nowMs;
  }

  /** Whether a queue may use idle channels that belong to other classes. */
  mayBorrow(queue: string, nowMs: number): boolean {
    const demand = this.#byQueue.get(queue);
    if (demand === undefined || !isWaiting(demand, nowMs)) return false;
    if (!this.othersActive(queue, nowMs)) return true;
    const sinceMs = Math.max(demand.wantedSinceMs, demand.sentMs);
    return nowMs - sinceMs >= BORROW_FACTOR * demand.typicalMs;
  }

  /**
   * Whether another queue waits for a channel, has a request in flight or had
   * one shortly before.
   */
  othersActive(queue: string, nowMs: number): boolean {
    for (const [other, demand] of this.#byQueue) {
      if (other !== queue && isActive(demand, nowMs)) return true;
    }
    return false;
  }

  /** The same for queues whose requests are not slow. */
  quickerActive(nowMs: number): boolean {
    for (const demand of this.#byQueue.values()) {
      if (!demand.slow && isActive(demand, nowMs)) return true;
    }
    return false;
  }

  /** Queues that claim a channel, the one that has waited longest first. */
  claimingQueues(nowMs: number): readonly string[] {
    return [...this.#byQueue]
      .filter(([, demand]) => isClaiming(demand, nowMs))
      .sort(([, a], [, b]) => waitStartMs(a) - waitStartMs(b))
      .map(([queue]) => queue);
  }

  #demandOf(queue: string): Demand {
    const known = this.#byQueue.get(queue);
    if (known !== undefined) return known;
    const demand: Demand = {
      slow: false,
      typicalMs: 0,
      refusedMs: -Infinity,
      wantedSinceMs: -Infinity,
      inFlight: 0,
      sentMs: -Infinity,
      endedMs: -Infinity,
      answeredMs: -Infinity,
    };
    this.#byQueue.set(queue, demand);
    return demand;
  }
}

function isWaiting({ refusedMs }: Demand, nowMs: number): boolean {
  return nowMs - refusedMs <= DEMAND_LIFETIME_MS;
}

function isActive(demand: Demand, nowMs: number): boolean {
  return demand.inFlight > 0 || isWaiting(demand, nowMs) ||
    nowMs - demand.endedMs < DEMAND_LIFETIME_MS;
}

function isClaiming(demand: Demand, nowMs: number): boolean {
  return demand.inFlight === 0 && isWaiting(demand, nowMs) &&
    nowMs - waitStartMs(demand) >= CLAIM_FACTOR * demand.typicalMs;
}

/** Since when a queue has waited for an answer. */
function waitStartMs({ wantedSinceMs, answeredMs }: Demand): number {
  return Math.max(wantedSinceMs, answeredMs);
}
