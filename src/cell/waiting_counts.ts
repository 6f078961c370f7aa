/**
 * The numbers of waiting jobs as a leader last counted them.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { clockOffsetMs, wasSuspendedSince } from "./suspension.ts";

/** Age up to which counts are returned to clients, milliseconds: the 2 s of the platform's pages, less the way to the client. */
const MAX_AGE_MS = 1_800;

/** Queues and their number of accepted jobs that have not started; a queue without any may be missing. */
export type QueueCounts = ReadonlyMap<string, number>;

/**
 * The latest counts, from heartbeats or from this process's own term. They
 * outlast a change of leader: a new leader cannot count before it has read the
 * jobs back.
 */
export class WaitingCounts {
  readonly #clock: Clock;
  #counts: QueueCounts = new Map();
  #countedMs = -Infinity;
  #clockOffsetMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The latest counts; `undefined` if there are none or they are too old, also through a suspension of the process. */
  get latest(): QueueCounts | undefined {
    if (wasSuspendedSince(this.#clock, this.#clockOffsetMs)) return undefined;
    const ageMs = this.#clock.monotonic() - this.#countedMs;
    return ageMs > MAX_AGE_MS ? undefined : this.#counts;
  }

  /** Records counts that a leader has just made. */
  record(counts: QueueCounts): void {
    this.#counts = counts;
    this.#countedMs = this.#clock.monotonic();
    this.#clockOffsetMs = clockOffsetMs(this.#clock);
  }
}
