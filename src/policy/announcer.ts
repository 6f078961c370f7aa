/**
 * When an instance tells its peers what waits and what is free.
 *
 * @module
 */

/** How soon peers have to hear of a change. */
export type Change =
  /** They have to act on it. */
  | "pressing"
  /** It may wait for others. */
  | "ordinary";

/** Settings of {@linkcode Announcer}. */
export interface AnnouncerOptions {
  /** Least time between two announcements of ordinary changes. */
  readonly ordinaryGapMs: number;
  /** Least time between two announcements of pressing changes. */
  readonly pressingGapMs: number;
}

/** Gathers changes into few announcements; nothing is sent while nothing changes. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #sentAtMs = -Infinity;
  #dueAtMs = Infinity;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /** Notes a change. */
  note(change: Change, nowMs: number): void {
    const gapMs = change === "pressing"
      ? this.#options.pressingGapMs
      : this.#options.ordinaryGapMs;
    const dueAtMs = Math.max(nowMs, this.#sentAtMs + gapMs);
    this.#dueAtMs = Math.min(this.#dueAtMs, dueAtMs);
  }

  /** When the next announcement is due; infinite while nothing has changed. */
  get dueAtMs(): number {
    return this.#dueAtMs;
  }

  /** Notes that an announcement was sent. */
  sent(nowMs: number): void {
    this.#sentAtMs = nowMs;
    this.#dueAtMs = Infinity;
  }
}
