/**
 * Remembers attempts for some time.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Attempts are remembered for so long, milliseconds. */
const ATTEMPT_MEMORY_MS = 600_000;

/** When each attempt was noted first. */
export class AttemptMemory {
  readonly #clock: Clock;
  readonly #notedAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether an attempt was noted. */
  has(attempt: string): boolean {
    return this.#notedAtMs.has(attempt);
  }

  /** When an attempt was noted; infinite if it was not. */
  notedAtMs(attempt: string): number {
    return this.#notedAtMs.get(attempt) ?? Infinity;
  }

  /** Notes an attempt unless it was noted before. */
  note(attempt: string): void {
    const nowMs = this.#clock.monotonic();
    if (!this.has(attempt)) this.#notedAtMs.set(attempt, nowMs);
    for (const [oldest, atMs] of this.#notedAtMs) {
      if (nowMs - atMs < ATTEMPT_MEMORY_MS) return;
      this.#notedAtMs.delete(oldest);
    }
  }
}
