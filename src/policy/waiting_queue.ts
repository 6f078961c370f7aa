/**
 * Queue of the work that waits at one instance, bounded by queue and by team.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Resources, Urgency } from "../types.ts";
import { Heap } from "./heap.ts";
import { byDueThenArrival } from "./order.ts";

/** A waiting request or task. Times are monotonic milliseconds of its origin. */
export interface WaitingItem {
  readonly id: string;
  readonly team: string;
  readonly queue: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly need: Resources;
  readonly arrivedAtMs: number;
  /** Time by which the work should be done. */
  readonly dueAtMs?: number;
  /** Time after which the caller no longer waits for the work. */
  readonly deadlineAtMs?: number;
}

/**
 * Waiting work of one urgency, team and workload at an instance. Times are relative because the
 * clocks of instances differ.
 */
export interface Backlog {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly count: number;
  readonly oldestArrivedAgoMs: number;
  /** Time until the first item is due, milliseconds; negative if it is late, absent if no due time is set. */
  readonly dueInMs?: number;
  /** Need of the first item. */
  readonly need: Resources;
}

/** Maximum number of items that may wait in a queue of one instance. */
export interface QueueBounds {
  readonly maxWaiting: number;
  readonly maxWaitingPerTeam: number;
}

/** Rejection because a queue is full. */
export interface QueueFull {
  readonly type: "queueFull";
  readonly message: string;
  readonly queue: string;
}

/** Restricts a search to some of the sub-queues. */
export interface SubQueueFilter {
  readonly urgency?: Urgency;
  readonly team?: string;
  readonly workload?: string;
}

interface SubQueue {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly items: Heap<WaitingItem>;
}

/** The work that waits at this instance, in one sub-queue for each urgency, team and workload. */
export class WaitingQueue {
  readonly #items = new Map<string, WaitingItem>();
  readonly #subQueues = new Map<string, SubQueue>();
  readonly #counts = new Map<string, number>();
  readonly #deadlines = new Heap<WaitingItem>((a, b) =>
    a.deadlineAtMs! < b.deadlineAtMs!
  );
  readonly #boundsOf: (queue: string) => QueueBounds;

  constructor(boundOf: (queue: string) => QueueBounds) {
    this.#boundsOf = boundOf;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.size;
  }

  /**
   * Adds an item and replaces any item with the same id. Fails with `queueFull` at the bound of its
   * queue or of its team.
   */
  push(item: WaitingItem): Result<void, QueueFull> {
    this.remove(item.id);
    if (!this.#isWithinBounds(item)) return err(queueFull(item.queue));
    this.#items.set(item.id, item);
    this.#subQueueOf(item).items.push(item);
    if (item.deadlineAtMs !== undefined) this.#deadlines.push(item);
    this.#changeCounts(item, 1);
    return ok();
  }

  /** Removes and returns an item. */
  remove(id: string): WaitingItem | undefined {
    const item = this.#items.get(id);
    if (item === undefined) return undefined;
    const key = subQueueKey(item);
    const subQueue = this.#subQueues.get(key)!;
    subQueue.items.remove(id);
    if (subQueue.items.size === 0) this.#subQueues.delete(key);
    this.#deadlines.remove(id);
    this.#items.delete(id);
    this.#changeCounts(item, -1);
    return item;
  }

  /** Removes many items, as a bulk cancellation does; returns those that were waiting. */
  removeAll(ids: Iterable<string>): WaitingItem[] {
    const removed: WaitingItem[] = [];
    for (const id of ids) {
      const item = this.remove(id);
      if (item !== undefined) removed.push(item);
    }
    return removed;
  }

  /** The waiting item with this id. */
  get(id: string): WaitingItem | undefined {
    return this.#items.get(id);
  }

  /** All waiting items, in no particular order. */
  all(): IterableIterator<WaitingItem> {
    return this.#items.values();
  }

  /** The first item of each sub-queue that matches the filter. */
  *heads(filter: SubQueueFilter = {}): Generator<WaitingItem> {
    for (const subQueue of this.#subQueues.values()) {
      if (matches(subQueue, filter)) yield subQueue.items.peek()!;
    }
  }

  /** The first item of a team. */
  head(urgency: Urgency, team: string): WaitingItem | undefined {
    return earliest(this.heads({ urgency, team }));
  }

  /** The first item of a sub-queue, in constant time. */
  peekSubQueue(subQueue: Pick<WaitingItem, "urgency" | "team" | "workload">):
    | WaitingItem
    | undefined {
    return this.#subQueues.get(subQueueKey(subQueue))?.items.peek();
  }

  /** Number of items in a sub-queue. */
  countInSubQueue(
    subQueue: Pick<WaitingItem, "urgency" | "team" | "workload">,
  ): number {
    return this.#subQueues.get(subQueueKey(subQueue))?.items.size ?? 0;
  }

  /** Removes and returns the item that `choose` selects among the first items of all sub-queues. */
  takeNext(
    choose: (heads: Iterable<WaitingItem>) => WaitingItem | undefined,
  ): WaitingItem | undefined {
    const chosen = choose(this.heads());
    return chosen && this.remove(chosen.id);
  }

  /** Removes and returns all items whose deadline has passed. */
  expire(nowMs: number): WaitingItem[] {
    const expired: WaitingItem[] = [];
    for (
      let item = this.#deadlines.peek();
      item !== undefined && item.deadlineAtMs! <= nowMs;
      item = this.#deadlines.peek()
    ) {
      expired.push(this.remove(item.id)!);
    }
    return expired;
  }

  /** When the next deadline expires; `undefined` without deadlines. */
  nextDeadlineMs(): number | undefined {
    return this.#deadlines.peek()?.deadlineAtMs;
  }

  /** Number of items in a queue. */
  waitingIn(queue: string): number {
    return this.#counts.get(queue) ?? 0;
  }

  /** Summarizes the waiting work, with one entry for each sub-queue. */
  summary(nowMs: number): readonly Backlog[] {
    return [...this.#subQueues.values()].map((subQueue) =>
      backlogOf(subQueue, nowMs)
    );
  }

  #subQueueOf(item: WaitingItem): SubQueue {
    const key = subQueueKey(item);
    const known = this.#subQueues.get(key);
    if (known !== undefined) return known;
    const { team, workload, urgency } = item;
    const subQueue = { team, workload, urgency, items: new Heap(precedes) };
    this.#subQueues.set(key, subQueue);
    return subQueue;
  }

  #isWithinBounds(item: WaitingItem): boolean {
    const bound = this.#boundsOf(item.queue);
    return this.waitingIn(item.queue) < bound.maxWaiting &&
      (this.#counts.get(teamKey(item)) ?? 0) < bound.maxWaitingPerTeam;
  }

  #changeCounts(item: WaitingItem, change: number): void {
    for (const key of [item.queue, teamKey(item)]) {
      const count = (this.#counts.get(key) ?? 0) + change;
      if (count > 0) this.#counts.set(key, count);
      else this.#counts.delete(key);
    }
  }
}

/** Order within a sub-queue. */
function precedes(a: WaitingItem, b: WaitingItem): boolean {
  return byDueThenArrival(a, b) < 0;
}

function backlogOf(subQueue: SubQueue, nowMs: number): Backlog {
  const head = subQueue.items.peek()!;
  const { team, workload, urgency } = subQueue;
  return {
    team,
    workload,
    urgency,
    count: subQueue.items.size,
    oldestArrivedAgoMs: nowMs - head.arrivedAtMs,
    ...(head.dueAtMs === undefined ? {} : { dueInMs: head.dueAtMs - nowMs }),
    need: head.need,
  };
}

function matches(subQueue: SubQueue, filter: SubQueueFilter): boolean {
  return (filter.urgency ?? subQueue.urgency) === subQueue.urgency &&
    (filter.team ?? subQueue.team) === subQueue.team &&
    (filter.workload ?? subQueue.workload) === subQueue.workload;
}

function earliest(items: Iterable<WaitingItem>): WaitingItem | undefined {
  let best: WaitingItem | undefined;
  for (const item of items) {
    if (best === undefined || precedes(item, best)) best = item;
  }
  return best;
}

function subQueueKey(
  subQueue: Pick<WaitingItem, "urgency" | "team" | "workload">,
): string {
  return `${subQueue.urgency} ${subQueue.team} ${subQueue.workload}`;
}

function teamKey(item: WaitingItem): string {
  return `${item.queue} ${item.team}`;
}

function queueFull(queue: string): QueueFull {
  return { type: "queueFull", message: `queue ${queue} is full`, queue };
}
