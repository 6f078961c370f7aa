/**
 * What waits at an instance of the model, with admission of urgent requests by
 * the measured drain rate of their team.
 *
 * @module
 */
import { DrainRate } from "../../src/policy/drain_rate.ts";
import { type Backlog, WaitingQueue } from "../../src/policy/waiting_queue.ts";
import { type Item, URGENT_BUDGET_MS } from "./trace.ts";

/** Part of a caller's time that the queue may take when a request is let in. */
const ADMITTED_PART = 0.8;

/** The queue. */
export class HeldQueue {
  readonly #queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  readonly #drains = new Map<string, DrainRate>();
  readonly #teamWaiting = new Map<string, number>();
  #urgentWaiting = 0;

  /** Urgent requests that wait. */
  get urgentWaiting(): number {
    return this.#urgentWaiting;
  }

  /** Whether an item would be answered in its caller's time. */
  canAnswer(item: Item, nowMs: number): boolean {
    if (item.urgency === "deferred") return true;
    const ahead = this.#teamWaiting.get(item.team) ?? 0;
    return this.#drain(item.team, nowMs).canAnswerInTime(ahead, {
      budgetMs: ADMITTED_PART * URGENT_BUDGET_MS,
      nowMs,
    });
  }

  /** Lets an item wait. */
  push(item: Item): void {
    this.#queue.push(item);
    this.#count(item, 1);
  }

  /** Takes an item out that goes to a worker. */
  take(item: Item, nowMs: number): void {
    this.#queue.remove(item.id);
    this.#count(item, -1);
    if (item.urgency === "urgent") {
      this.#drain(item.team, nowMs).recordDepartures(nowMs);
    }
  }

  /** Takes out what nobody waits for any more. */
  expire(nowMs: number): Item[] {
    const expired = this.#queue.expire(nowMs) as Item[];
    for (const item of expired) this.#count(item, -1);
    return expired;
  }

  /** Whether an item waits. */
  has(item: Item): boolean {
    return this.#queue.get(item.id) !== undefined;
  }

  /** The first item of each team and workload. */
  heads(): Generator<Item> {
    return this.#queue.heads() as Generator<Item>;
  }

  /** Everything that waits. */
  all(): IterableIterator<Item> {
    return this.#queue.all() as IterableIterator<Item>;
  }

  /** What waits, for peers. */
  summary(nowMs: number): readonly Backlog[] {
    return this.#queue.summary(nowMs);
  }

  #drain(team: string, nowMs: number): DrainRate {
    const drain = this.#drains.get(team) ?? new DrainRate(nowMs);
    this.#drains.set(team, drain);
    return drain;
  }

  #count(item: Item, change: number): void {
    if (item.urgency !== "urgent") return;
    this.#urgentWaiting += change;
    const waiting = (this.#teamWaiting.get(item.team) ?? 0) + change;
    this.#teamWaiting.set(item.team, waiting);
  }
}
