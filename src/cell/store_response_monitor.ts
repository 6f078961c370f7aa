/**
 * Detects when the store takes much longer than usual to answer transactions.
 *
 * The outcome of a transaction is unknown while the store does not answer it,
 * so no further transaction is sent while an answer is overdue.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Shortest time after which an answer is overdue, milliseconds: several times the usual answer time of a nearby store. */
const MIN_OVERDUE_MS = 60;
/** An answer is overdue after this multiple of the typical answer time. */
const OVERDUE_FACTOR = 2;
/** Factor by which the typical answer time decreases at most with each answer. */
const TYPICAL_DECAY = 0.8;

/** A transaction that the store has not answered yet. */
export interface InFlightTransaction {
  /** When it was sent, monotonic milliseconds. */
  readonly sentAtMs: number;
}

/** Monitors the store's answer times for the transactions of one job log. */
export class StoreResponseMonitor {
  readonly #clock: Clock;
  readonly #inFlight = new Set<InFlightTransaction>();
  #lastResponseMs = -Infinity;
  #typicalMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Typical answer time, milliseconds: the maximum of recent answers, which decays with each further answer. */
  get typicalMs(): number {
    return this.#typicalMs;
  }

  /** Records that a transaction is sent; pass the result to `finish`. */
  start(): InFlightTransaction {
    const transaction = { sentAtMs: this.#clock.monotonic() };
    this.#inFlight.add(transaction);
    return transaction;
  }

  /** Records the answer to a transaction whose last attempt was sent at `lastSentMs` (monotonic milliseconds). */
  recordResponse(lastSentMs: number): void {
    this.#lastResponseMs = this.#clock.monotonic();
    const elapsedMs = this.#lastResponseMs - lastSentMs;
    this.#typicalMs = Math.max(elapsedMs, TYPICAL_DECAY * this.#typicalMs);
  }

  /** Whether the store has answered any transaction at or after `atMs` (monotonic milliseconds). */
  hasRespondedSince(atMs: number): boolean {
    return this.#lastResponseMs >= atMs;
  }

  /** Removes a transaction once it has been answered or is no longer retried. */
  finish(transaction: InFlightTransaction): void {
    this.#inFlight.delete(transaction);
  }

  /** Whether a transaction has waited too long and the store has answered none since it was sent. */
  get isOverdue(): boolean {
    const limitMs = Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * this.#typicalMs);
    const overdueBeforeMs = this.#clock.monotonic() - limitMs;
    return [...this.#inFlight].some(({ sentAtMs }) =>
      sentAtMs <= overdueBeforeMs && sentAtMs > this.#lastResponseMs
    );
  }
}
