/**
 * Work that waits at one instance, bounded by queue and by team.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Resources, Urgency } from "../types.ts";
import { Heap } from "./heap.ts";
import { byDueThenArrival } from "./order.ts";

/** One request or task that waits. Times are monotonic milliseconds of its holder. */
export interface Waiting {
  readonly id: string;
  readonly team: string;
  readonly queue: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly need: Resources;
  readonly arrivedAtMs: number;
  /** When it should be done. */
  readonly dueAtMs?: number;
  /** When nobody waits for it any more. */
  readonly deadlineAtMs?: number;
}

/** What waits at an instance for one team and workload; ages, because clocks of instances differ. */
export interface Backlog {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly count: number;
  readonly oldestArrivedAgoMs: number;
  /** Time left until the first is due; negative when late, absent when none is due. */
  readonly dueInMs?: number;
  /** What the first takes. */
  readonly need: Resources;
}

/** Most that may wait in a queue of one instance. */
export interface QueueBound {
  readonly maxWaiting: number;
  readonly maxWaitingPerTeam: number;
}

/** A refusal to let work wait. */
export interface QueueFull {
  readonly type: "queueFull";
  readonly message: string;
  readonly queue: string;
}

/** Where a search in the queue looks. */
export interface LaneFilter {
  readonly urgency?: Urgency;
  readonly team?: string;
  readonly workload?: string;
}

interface Lane {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly items: Heap<Waiting>;
}

/** The work that waits at this instance. */
export class WaitingQueue {
  readonly #items = new Map<string, Waiting>();
  readonly #lanes = new Map<string, Lane>();
  readonly #counts = new Map<string, number>();
  readonly #deadlines = new Heap<Waiting>((a, b) =>
    a.deadlineAtMs! < b.deadlineAtMs!
  );
  readonly #boundOf: (queue: string) => QueueBound;

  constructor(boundOf: (queue: string) => QueueBound) {
    this.#boundOf = boundOf;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.size;
  }

  /** Lets an item wait; one that already waits is replaced. */
  push(item: Waiting): Result<void, QueueFull> {
    this.remove(item.id);
    if (!this.#hasRoom(item)) return err(queueFull(item.queue));
    this.#items.set(item.id, item);
    this.#lane(item).items.push(item);
    if (item.deadlineAtMs !== undefined) this.#deadlines.push(item);
    this.#count(item, 1);
    return ok();
  }

  /** Takes an item out. */
  remove(id: string): Waiting | undefined {
    const item = this.#items.get(id);
    if (item === undefined) return undefined;
    const key = laneKey(item);
    const lane = this.#lanes.get(key)!;
    lane.items.remove(id);
    if (lane.items.size === 0) this.#lanes.delete(key);
    this.#deadlines.remove(id);
    this.#items.delete(id);
    this.#count(item, -1);
    return item;
  }

  /** Takes many items out, as one wave of cancellations does. */
  removeAll(ids: Iterable<string>): Waiting[] {
    const removed: Waiting[] = [];
    for (const id of ids) {
      const item = this.remove(id);
      if (item !== undefined) removed.push(item);
    }
    return removed;
  }

  /** An item that waits. */
  get(id: string): Waiting | undefined {
    return this.#items.get(id);
  }

  /** Everything that waits, in no particular order. */
  all(): IterableIterator<Waiting> {
    return this.#items.values();
  }

  /** The first item of each team and workload that the filter lets through. */
  *heads(filter: LaneFilter = {}): Generator<Waiting> {
    for (const lane of this.#lanes.values()) {
      if (matches(lane, filter)) yield lane.items.head()!;
    }
  }

  /** The first item of a team. */
  head(urgency: Urgency, team: string): Waiting | undefined {
    return first(this.heads({ urgency, team }));
  }

  /** The first item of one team and workload, in constant time. */
  headOf(lane: Pick<Waiting, "urgency" | "team" | "workload">):
    | Waiting
    | undefined {
    return this.#lanes.get(laneKey(lane))?.items.head();
  }

  /** Number of items of one team and workload. */
  countOf(lane: Pick<Waiting, "urgency" | "team" | "workload">): number {
    return this.#lanes.get(laneKey(lane))?.items.size ?? 0;
  }

  /** Takes the item that `choose` picks out of the first ones of each team and workload. */
  next(
    choose: (heads: Iterable<Waiting>) => Waiting | undefined,
  ): Waiting | undefined {
    const chosen = choose(this.heads());
    return chosen && this.remove(chosen.id);
  }

  /** Takes out everything whose deadline has passed. */
  expire(nowMs: number): Waiting[] {
    const expired: Waiting[] = [];
    for (
      let item = this.#deadlines.head();
      item !== undefined && item.deadlineAtMs! <= nowMs;
      item = this.#deadlines.head()
    ) {
      expired.push(this.remove(item.id)!);
    }
    return expired;
  }

  /** When the next deadline passes. */
  nextDeadlineMs(): number | undefined {
    return this.#deadlines.head()?.deadlineAtMs;
  }

  /** Items that wait in a queue. */
  waitingIn(queue: string): number {
    return this.#counts.get(queue) ?? 0;
  }

  /** What waits, one entry for each team and workload. */
  summary(nowMs: number): readonly Backlog[] {
    return [...this.#lanes.values()].map((lane) => backlogOf(lane, nowMs));
  }

  #lane(item: Waiting): Lane {
    const key = laneKey(item);
    const known = this.#lanes.get(key);
    if (known !== undefined) return known;
    const { team, workload, urgency } = item;
    const lane = { team, workload, urgency, items: new Heap(precedes) };
    this.#lanes.set(key, lane);
    return lane;
  }

  #hasRoom(item: Waiting): boolean {
    const bound = this.#boundOf(item.queue);
    return this.waitingIn(item.queue) < bound.maxWaiting &&
      (this.#counts.get(teamKey(item)) ?? 0) < bound.maxWaitingPerTeam;
  }

  #count(item: Waiting, change: number): void {
    for (const key of [item.queue, teamKey(item)]) {
      const count = (this.#counts.get(key) ?? 0) + change;
      if (count > 0) this.#counts.set(key, count);
      else this.#counts.delete(key);
    }
  }
}

/** Order within a team and workload. */
function precedes(a: Waiting, b: Waiting): boolean {
  return byDueThenArrival(a, b) < 0;
}

function backlogOf(lane: Lane, nowMs: number): Backlog {
  const head = lane.items.head()!;
  const { team, workload, urgency } = lane;
  return {
    team,
    workload,
    urgency,
    count: lane.items.size,
    oldestArrivedAgoMs: nowMs - head.arrivedAtMs,
    ...(head.dueAtMs === undefined ? {} : { dueInMs: head.dueAtMs - nowMs }),
    need: head.need,
  };
}

function matches(lane: Lane, filter: LaneFilter): boolean {
  return (filter.urgency ?? lane.urgency) === lane.urgency &&
    (filter.team ?? lane.team) === lane.team &&
    (filter.workload ?? lane.workload) === lane.workload;
}

function first(items: Iterable<Waiting>): Waiting | undefined {
  let best: Waiting | undefined;
  for (const item of items) {
    if (best === undefined || precedes(item, best)) best = item;
  }
  return best;
}

function laneKey(
  lane: Pick<Waiting, "urgency" | "team" | "workload">,
): string {
  return `${lane.urgency} ${lane.team} ${lane.workload}`;
}

function teamKey(item: Waiting): string {
  return `${item.queue} ${item.team}`;
}

function queueFull(queue: string): QueueFull {
  return { type: "queueFull", message: `queue ${queue} is full`, queue };
}
