/**
 * Measured drain rates by queue, for the advice when to come back.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { DrainRate } from "../policy/drain_rate.ts";
import type { WaitingQueue } from "../policy/waiting.ts";

/** A queue whose first item has waited for so long is backed up, milliseconds. */
const BACKED_UP_MS = 250;

/** What the rates depend on. */
export interface DrainRatesOptions {
  readonly clock: Clock;
  readonly queue: WaitingQueue;
}

/** The rates of all queues of an instance. */
export class DrainRates {
  readonly #options: DrainRatesOptions;
  readonly #rates = new Map<string, DrainRate>();

  constructor(options: DrainRatesOptions) {
    this.#options = options;
  }

  /** Notes that one item has left a queue for a worker. */
  departed(queue: string): void {
    this.#rate(queue).record(this.#options.clock.monotonic());
  }

  /** When a caller that was refused should ask again, milliseconds. */
  retryAfterMs(queue: string): number {
    const nowMs = this.#options.clock.monotonic();
    const waiting = this.#options.queue.waitingIn(queue);
    return this.#rate(queue).retryAfterMs(waiting, nowMs);
  }

  /** Whether a new item would leave a queue within `budgetMs`; true unless the queue is backed up. */
  canAnswerInTime(queue: string, budgetMs: number): boolean {
    const nowMs = this.#options.clock.monotonic();
    const ahead = this.#options.queue.waitingIn(queue);
    if (ahead === 0 || !this.#isBackedUp(queue, nowMs)) return true;
    return this.#rate(queue).canAnswerInTime(ahead, { budgetMs, nowMs });
  }

  /** Whether the first in a queue has waited for long: before that, its rate is the arrivals' own. */
  #isBackedUp(queue: string, nowMs: number): boolean {
    for (const head of this.#options.queue.heads()) {
      if (head.queue !== queue) continue;
      if (nowMs - head.arrivedAtMs > BACKED_UP_MS) return true;
    }
    return false;
  }

  #rate(queue: string): DrainRate {
    const known = this.#rates.get(queue);
    if (known !== undefined) return known;
    const rate = new DrainRate(this.#options.clock.monotonic());
    this.#rates.set(queue, rate);
    return rate;
  }
}
