/**
 * Attempts that were recorded recently.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Time for which attempts are kept, milliseconds. */
const ATTEMPT_TTL_MS = 600_000;

/** Times at which attempts were first recorded. */
export class RecentAttempts {
  readonly #clock: Clock;
  readonly #recordedAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether an attempt is recorded. */
  has(attempt: string): boolean {
    return this.#recordedAtMs.has(attempt);
  }

  /**
   * Time at which an attempt was first recorded, monotonic milliseconds;
   * `Infinity` if it is not recorded.
   */
  recordedAtMs(attempt: string): number {
    return this.#recordedAtMs.get(attempt) ?? Infinity;
  }

  /** Records an attempt unless it is recorded already. */
  record(attempt: string): void {
    const nowMs = this.#clock.monotonic();
    if (!this.has(attempt)) this.#recordedAtMs.set(attempt, nowMs);
    for (const [oldest, atMs] of this.#recordedAtMs) {
      if (nowMs - atMs < ATTEMPT_TTL_MS) return;
      this.#recordedAtMs.delete(oldest);
    }
  }
}
