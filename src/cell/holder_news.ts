/**
 * What an instance has heard of the holder, and when.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** The holder tells its watchers where it stands this often, and the others not more often, milliseconds. */
export const STATUS_EVERY_MS = 100;
/** The same for each member, milliseconds: it bounds the holder's cost with many. */
const STATUS_EVERY_MEMBER_MS = 4;
/** Statuses that must fail to come before others try to take the cell. */
const MISSED_STATUSES = 3;
/** Time that a status may be late, milliseconds. */
const LATE_STATUS_MS = 80;
/** Silence that tells enough after the link to the holder broke, milliseconds: a redial. */
const BROKEN_LINK_MS = 220;
/** Silence after the start of a process within which a holder makes itself known, milliseconds. */
const FIRST_SILENCE_MS = 700;

/** Time between two statuses to each of `members` instances that is no watcher, milliseconds. */
export function statusEveryMs(members: number): number {
  return Math.max(STATUS_EVERY_MS, STATUS_EVERY_MEMBER_MS * (members + 1));
}

/** What a holder tells with its status. */
export interface Told {
  /** Accepted jobs by queue that have not begun. */
  readonly waiting: readonly (readonly [string, number])[];
  /** Whether this instance is a watcher. */
  readonly watches: boolean;
}

/** News of the holder. */
export class HolderNews {
  readonly #clock: Clock;
  readonly #members: () => number;
  #heardMs: number;
  #hears = false;
  #linkLost = false;
  #watches = false;
  #waiting: ReadonlyMap<string, number> = new Map();
  #waitingMs = -Infinity;

  /** `members`: instances that are known besides this one. */
  constructor(clock: Clock, members: () => number) {
    this.#clock = clock;
    this.#members = members;
    this.#heardMs = clock.monotonic();
  }

  /** Milliseconds since the holder was heard, or heard of. */
  get silenceMs(): number {
    return this.#clock.monotonic() - this.#heardMs;
  }

  /** Whether the holder itself makes itself heard. */
  get hears(): boolean {
    return this.#hears && !this.#linkLost && this.silenceMs < this.#limitMs();
  }

  /** Whether it has been silent for `extraMs` longer than it should be. */
  isSilent(extraMs: number): boolean {
    const limit = this.#linkLost ? BROKEN_LINK_MS : this.#limitMs();
    return this.silenceMs > limit + extraMs;
  }

  /** Accepted jobs by queue that have not begun, and the age of that. */
  waiting(): {
    readonly counts: ReadonlyMap<string, number>;
    readonly ageMs: number;
  } {
    const ageMs = this.#clock.monotonic() - this.#waitingMs;
    return { counts: this.#waiting, ageMs };
  }

  /** Whether the holder counts on this instance to miss it first. */
  get watches(): boolean {
    return this.#watches;
  }

  /** The holder has told where it stands. */
  told({ waiting, watches }: Told): void {
    this.#watches = watches;
    this.#waiting = new Map(waiting);
    this.#waitingMs = this.#clock.monotonic();
    this.answered();
  }

  /** The holder has answered. */
  answered(): void {
    this.#hears = true;
    this.#linkLost = false;
    this.#heardMs = this.#clock.monotonic();
  }

  /** Somebody is said to be the holder now. */
  heardOf(): void {
    this.#hears = false;
    this.#watches = false;
    this.#linkLost = false;
    this.#heardMs = this.#clock.monotonic();
  }

  /** The link to the holder broke. */
  lostLink(): void {
    this.#linkLost = true;
  }

  /** The holder's process has started anew and knows nothing of its hold. */
  forgotten(): void {
    const since = this.#clock.monotonic() - this.#limitMs();
    this.#heardMs = Math.min(this.#heardMs, since);
  }

  #limitMs(): number {
    const members = this.#members();
    if (members === 0) return FIRST_SILENCE_MS;
    const everyMs = this.#watches ? STATUS_EVERY_MS : statusEveryMs(members);
    return MISSED_STATUSES * everyMs + LATE_STATUS_MS;
  }
}
