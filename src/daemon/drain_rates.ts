/**
 * Measured drain rate of each queue, for the retry delay of rejected clients.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { DrainRate } from "../policy/drain_rate.ts";
import type { WaitingQueue } from "../policy/waiting_queue.ts";

/** A queue is backed up if its first item has waited longer than this, milliseconds. */
const MIN_BACKLOG_WAIT_MS = 250;

/** Dependencies of {@linkcode DrainRates}. */
export interface DrainRatesOptions {
  readonly clock: Clock;
  readonly queue: WaitingQueue;
}

/** Drain rates of all queues of an instance. */
export class DrainRates {
  readonly #options: DrainRatesOptions;
  readonly #rates = new Map<string, DrainRate>();

  constructor(options: DrainRatesOptions) {
    this.#options = options;
  }

  /** Records that one item has left a queue for a worker. */
  record(queue: string): void {
    this.#rate(queue).recordDepartures(this.#options.clock.monotonic());
  }

  /** Delay after which a rejected client should retry, milliseconds. */
  retryAfterMs(queue: string): number {
    const nowMs = this.#options.clock.monotonic();
    const waiting = this.#options.queue.waitingIn(queue);
    return this.#rate(queue).retryAfterMs(waiting, nowMs);
  }

  /** Whether a new item is expected to leave a queue within `budgetMs`; always true if the queue is not backed up. */
  canAnswerInTime(queue: string, budgetMs: number): boolean {
    const nowMs = this.#options.clock.monotonic();
    const ahead = this.#options.queue.waitingIn(queue);
    if (ahead === 0 || !this.#isBackedUp(queue, nowMs)) return true;
    return this.#rate(queue).canAnswerInTime(ahead, { budgetMs, nowMs });
  }

  /** Whether a queue has a backlog. Without one, its drain rate is only as high as its arrival rate. */
  #isBackedUp(queue: string, nowMs: number): boolean {
    for (const head of this.#options.queue.heads()) {
      if (head.queue !== queue) continue;
      if (nowMs - head.arrivedAtMs > MIN_BACKLOG_WAIT_MS) return true;
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
