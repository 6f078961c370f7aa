/**
 * The advice work that waits for a channel, and how long new work of a queue
 * would wait behind it.
 *
 * Load pattern: so few instances are left that they cannot relay all advice
 * requests. Without a bound, accepted work would wait ever longer beside free
 * workers.
 *
 * @module
 */
import type { Queue } from "../types.ts";
import { CLAIMED_SHARE } from "./channel_demand.ts";
import {
  type DurationClass,
  queueDurationClass,
  typicalRequestMs,
} from "./channels.ts";

/** Requests of one queue that wait. */
interface QueueBacklog {
  readonly priority: number;
  durationMs: number;
}

/** The requests that no channel was free for in the last scheduling pass. */
export class AdviceBacklog {
  #collected = new Map<string, QueueBacklog>();
  #lastPass: ReadonlyMap<string, QueueBacklog> = new Map();

  /** Adds a request of a queue that waits for a channel. */
  add({ name, priority, advice }: Queue): void {
    if (advice === undefined) return;
    const durationMs = typicalRequestMs(advice);
    const known = this.#collected.get(name);
    if (known === undefined) {
      this.#collected.set(name, { priority, durationMs });
    } else known.durationMs += durationMs;
  }

  /** Ends a scheduling pass: its requests replace those of the previous one. */
  endPass(): void {
    this.#lastPass = this.#collected;
    this.#collected = new Map();
  }

  /**
   * Time until this many channels have answered the waiting requests of a queue
   * and those of more urgent queues, milliseconds; 0 if none of the queue waits.
   */
  waitMs({ name, priority, advice }: Queue, channels: number): number {
    const own = this.#lastPass.get(name);
    if (own === undefined || advice === undefined || channels === 0) return 0;
    let urgentMs = 0;
    for (const [other, backlog] of this.#lastPass) {
      if (other !== name && backlog.priority < priority) {
        urgentMs += backlog.durationMs;
      }
    }
    return urgentMs / channels +
      own.durationMs /
        channelsAvailableTo(queueDurationClass(advice), channels);
  }
}

/**
 * Number of channels that the requests of a class get while other classes use
 * channels too.
 */
function channelsAvailableTo(
  durationClass: DurationClass,
  channels: number,
): number {
  if (durationClass !== "slow") return channels;
  // Slow requests leave one channel to the others.
  return Math.max(channels - 1, CLAIMED_SHARE);
}
