/**
 * What the design is compared with: one queue that knows all and has no
 * latency, first in first out, and a static split.
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
import { Events } from "./events.ts";
import { Outcomes } from "./record.ts";
import { type Item, SLOTS } from "./trace.ts";

/** How a baseline orders what waits. */
export type Discipline = "policy" | "fifo";

/** A baseline. */
export interface Baseline {
  readonly discipline: Discipline;
  /** Parts that the slots are split into. */
  readonly parts: number;
  /** Part at which an item arrives. */
  readonly entryOf: (item: Item) => number;
  readonly weights?: ReadonlyMap<string, number>;
}

/** Runs a trace without latency. */
export function runBaseline(
  trace: readonly Item[],
  options: Baseline & { readonly untilMs: number },
): Outcomes {
  const events = new Events();
  const outcomes = new Outcomes(trace.length);
  const parts = Array.from(
    { length: options.parts },
    () =>
      new Part(events, {
        outcomes,
        slots: SLOTS / options.parts,
        line: options.discipline === "fifo"
          ? new FifoLine()
          : new PolicyLine(SLOTS / options.parts, options.weights ?? new Map()),
      }),
  );
  for (const item of trace) {
    const part = parts[options.entryOf(item)]!;
    events.after(item.arrivedAtMs, () => part.arrive(item));
  }
  events.run(options.untilMs);
  return outcomes;
}

/** What waits, and which of it is next. */
interface Line {
  push(item: Item): void;
  next(nowMs: number): Item | undefined;
  ended(item: Item, nowMs: number): void;
}

class FifoLine implements Line {
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

class PolicyLine implements Line {
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

class Part {
  readonly #events: Events;
  readonly #outcomes: Outcomes;
  readonly #line: Line;
  #free: number;

  constructor(
    events: Events,
    options: {
      readonly outcomes: Outcomes;
      readonly slots: number;
      readonly line: Line;
    },
  ) {
    this.#events = events;
    this.#outcomes = options.outcomes;
    this.#line = options.line;
    this.#free = options.slots;
  }

  arrive(item: Item): void {
    this.#line.push(item);
    this.#fill();
  }

  #fill(): void {
    while (this.#free > 0) {
      const item = this.#line.next(this.#events.nowMs);
      if (item === undefined) return;
      this.#start(item);
    }
  }

  #start(item: Item): void {
    this.#free--;
    this.#outcomes.start(item, this.#events.nowMs);
    this.#events.after(item.serviceMs, () => {
      this.#free++;
      this.#outcomes.end(item, this.#events.nowMs);
      this.#line.ended(item, this.#events.nowMs);
      this.#fill();
    });
  }
}
