/**
 * Baselines of the comparison: a central queue with full knowledge and no
 * latency, first in first out, and a static partition of the slots.
 *
 * @module
 */
import { DeferredStartCredit, selectNext } from "../../src/policy/selection.ts";
import { Shares } from "../../src/policy/shares.ts";
import {
  type WaitingItem,
  WaitingQueue,
} from "../../src/policy/waiting_queue.ts";
import { zeroResources } from "../../src/resources.ts";
import { EventQueue } from "./event_queue.ts";
import { Outcomes } from "./outcomes.ts";
import { type Item, SLOTS } from "./trace.ts";

/** Scheduling order of a baseline. */
export type Discipline = "policy" | "fifo";

/** Options of a baseline. */
export interface Baseline {
  readonly discipline: Discipline;
  /** Number of partitions of the slots. */
  readonly partitions: number;
  /** Index of the partition at which an item arrives. */
  readonly entryOf: (item: Item) => number;
  readonly weights?: ReadonlyMap<string, number>;
}

/** Simulates a baseline on a trace, without network latency. */
export function runBaseline(
  trace: readonly Item[],
  options: Baseline & { readonly untilMs: number },
): Outcomes {
  const events = new EventQueue();
  const outcomes = new Outcomes(trace.length);
  const partitions = Array.from(
    { length: options.partitions },
    () =>
      new Partition(events, {
        outcomes,
        slots: SLOTS / options.partitions,
        backlog: options.discipline === "fifo"
          ? new FifoBacklog()
          : new PolicyBacklog(
            SLOTS / options.partitions,
            options.weights ?? new Map(),
          ),
      }),
  );
  for (const item of trace) {
    const partition = partitions[options.entryOf(item)]!;
    events.after(item.arrivedAtMs, () => partition.arrive(item));
  }
  events.runUntil(options.untilMs);
  return outcomes;
}

/** Waiting items in scheduling order. */
interface Backlog {
  push(item: Item): void;
  next(nowMs: number): Item | undefined;
  ended(item: Item, nowMs: number): void;
}

class FifoBacklog implements Backlog {
  #items: Item[] = [];
  #first = 0;

  push(item: Item): void {
    this.#items.push(item);
  }

  next(): Item | undefined {
    return this.#items[this.#first++] ?? this.#empty();
  }

  ended(): void {}

  #empty(): undefined {
    this.#items = [];
    this.#first = 0;
  }
}

class PolicyBacklog implements Backlog {
  readonly #queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  readonly #shares = new Shares();
  readonly #turns = new DeferredStartCredit();

  constructor(slots: number, weights: ReadonlyMap<string, number>) {
    this.#shares.setCapacity({ ...zeroResources, slots });
    this.#shares.setWeights(weights);
  }

  push(item: Item): void {
    this.#queue.push(item);
  }

  next(nowMs: number): Item | undefined {
    this.#shares.advance(nowMs);
    const item = this.#queue.takeNext((heads) =>
      selectNext<WaitingItem>(heads, {
        shares: this.#shares,
        hasCapacity: () => true,
        nowMs,
        deferredCredit: this.#turns,
      })
    );
    if (item !== undefined) this.#shares.charge(item.team, item.need);
    return item as Item | undefined;
  }

  ended(item: Item, nowMs: number): void {
    this.#shares.advance(nowMs);
    this.#shares.refund(item.team, item.need);
  }
}

class Partition {
  readonly #events: EventQueue;
  readonly #outcomes: Outcomes;
  readonly #backlog: Backlog;
  #free: number;

  constructor(
    events: EventQueue,
    options: {
      readonly outcomes: Outcomes;
      readonly slots: number;
      readonly backlog: Backlog;
    },
  ) {
    this.#events = events;
    this.#outcomes = options.outcomes;
    this.#backlog = options.backlog;
    this.#free = options.slots;
  }

  arrive(item: Item): void {
    this.#backlog.push(item);
    this.#fill();
  }

  #fill(): void {
    while (this.#free > 0) {
      const item = this.#backlog.next(this.#events.nowMs);
      if (item === undefined) return;
      this.#start(item);
    }
  }

  #start(item: Item): void {
    this.#free--;
    this.#outcomes.recordStart(item, this.#events.nowMs);
    this.#events.after(item.serviceMs, () => {
      this.#free++;
      this.#outcomes.recordEnd(item, this.#events.nowMs);
      this.#backlog.ended(item, this.#events.nowMs);
      this.#fill();
    });
  }
}
