/**
 * Backlog of a simulated instance. Urgent requests are admitted by the
 * measured drain rate of their team.
 *
 * @module
 */
import { DrainRate } from "../../src/policy/drain_rate.ts";
import { type Backlog, WaitingQueue } from "../../src/policy/waiting_queue.ts";
import { type Item, URGENT_BUDGET_MS } from "./trace.ts";

/** Part of a caller's time budget that a request may be expected to wait when it is admitted. */
const ADMISSION_FRACTION = 0.8;

/** Items that wait at one instance. */
export class InstanceBacklog {
  readonly #queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  readonly #drainRates = new Map<string, DrainRate>();
  readonly #teamWaiting = new Map<string, number>();
  #urgentWaiting = 0;

  /** Number of waiting urgent requests. */
  get urgentWaiting(): number {
    return this.#urgentWaiting;
  }

  /** Whether an item is expected to be answered within its caller's time budget. */
  canAnswer(item: Item, nowMs: number): boolean {
    if (item.urgency === "deferred") return true;
    const ahead = this.#teamWaiting.get(item.team) ?? 0;
    return this.#drainRate(item.team, nowMs).canAnswerInTime(ahead, {
      budgetMs: ADMISSION_FRACTION * URGENT_BUDGET_MS,
      nowMs,
    });
  }

  /** Adds an item. */
  push(item: Item): void {
    this.#queue.push(item);
    this.#count(item, 1);
  }

  /** Removes an item that is sent to a worker. */
  take(item: Item, nowMs: number): void {
    this.#queue.remove(item.id);
    this.#count(item, -1);
    if (item.urgency === "urgent") {
      this.#drainRate(item.team, nowMs).recordDepartures(nowMs);
    }
  }

  /** Removes and returns items whose deadline has passed. */
  expire(nowMs: number): Item[] {
    const expired = this.#queue.expire(nowMs) as Item[];
    for (const item of expired) this.#count(item, -1);
    return expired;
  }

  /** Whether an item waits. */
  has(item: Item): boolean {
    return this.#queue.get(item.id) !== undefined;
  }

  /** The head of the queue of each team and workload. */
  heads(): Generator<Item> {
    return this.#queue.heads() as Generator<Item>;
  }

  /** All waiting items. */
  all(): IterableIterator<Item> {
    return this.#queue.all() as IterableIterator<Item>;
  }

  /** Summary of the backlog for load reports to peers. */
  summary(nowMs: number): readonly Backlog[] {
    return this.#queue.summary(nowMs);
  }

  #drainRate(team: string, nowMs: number): DrainRate {
    const drain = this.#drainRates.get(team) ?? new DrainRate(nowMs);
    this.#drainRates.set(team, drain);
    return drain;
  }

  #count(item: Item, change: number): void {
    if (item.urgency !== "urgent") return;
    this.#urgentWaiting += change;
    const waiting = (this.#teamWaiting.get(item.team) ?? 0) + change;
    this.#teamWaiting.set(item.team, waiting);
  }
}
