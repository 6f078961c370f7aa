/**
 * Whether the store answers transactions as it usually does.
 *
 * What is in a transaction when the store falls silent has an unknown fate, so
 * nothing more is sent while an answer is overdue.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** No answer is overdue before this time, milliseconds: several times the usual answer of a store nearby. */
const SHORTEST_MS = 60;
/** Factor of the usual answer after which one is overdue. */
const FACTOR = 2;
/** What is left of a long answer in the usual one with each further answer. */
const DECAY = 0.8;

/** A transaction under way. */
export interface Sent {
  readonly atMs: number;
}

/** Watches the transactions of one job log. */
export class AnswerWatch {
  readonly #clock: Clock;
  readonly #underWay = new Set<Sent>();
  #answeredMs = -Infinity;
  #usualMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Time that an answer usually takes, milliseconds. */
  get usualMs(): number {
    return this.#usualMs;
  }

  /** A transaction is sent. */
  sent(): Sent {
    const sent = { atMs: this.#clock.monotonic() };
    this.#underWay.add(sent);
    return sent;
  }

  /** A transaction was answered that was last sent at `lastSentMs`. */
  answered(lastSentMs: number): void {
    this.#answeredMs = this.#clock.monotonic();
    const tookMs = this.#answeredMs - lastSentMs;
    this.#usualMs = Math.max(tookMs, DECAY * this.#usualMs);
  }

  /** Whether a transaction was answered after a time, monotonic milliseconds. */
  hasAnsweredSince(atMs: number): boolean {
    return this.#answeredMs >= atMs;
  }

  /** Nobody waits for a transaction any more. */
  ended(sent: Sent): void {
    this.#underWay.delete(sent);
  }

  /** Whether a transaction waits too long and none was answered since it was sent. */
  get isOverdue(): boolean {
    const limitMs = Math.max(SHORTEST_MS, FACTOR * this.#usualMs);
    const lastMs = this.#clock.monotonic() - limitMs;
    return [...this.#underWay].some(({ atMs }) =>
      atMs <= lastMs && atMs > this.#answeredMs
    );
  }
}
