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
  /** Duration of a typical request, milliseconds. */
  readonly typicalMs: number;
  count: number;
  /** How many of them have room for what they ask about. */
  startable: number;
}

/** The requests that no channel was free for in the last scheduling pass. */
export class AdviceBacklog {
  #collected = new Map<string, QueueBacklog>();
  #lastPass: ReadonlyMap<string, QueueBacklog> = new Map();

  /**
   * Adds a request of a queue that waits for a channel. `similarStarts`: how many
   * steps like the one that it is for have room. The others wait for room, with
   * or without advice.
   */
  add({ name, priority, advice }: Queue, similarStarts: number): void {
    if (advice === undefined) return;
    const known = this.#collected.get(name) ?? {
      priority,
      typicalMs: typicalRequestMs(advice),
      count: 0,
      startable: 0,
    };
    known.count++;
    known.startable = Math.max(known.startable, similarStarts);
    this.#collected.set(name, known);
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
        urgentMs += durationMsOf(backlog);
      }
    }
    return urgentMs / channels +
      durationMsOf(own) /
        channelsAvailableTo(queueDurationClass(advice), channels);
  }
}

/** Total duration of the requests that can lead to a start, milliseconds. */
function durationMsOf(
  { typicalMs, count, startable }: QueueBacklog,
): number {
  return typicalMs * Math.min(count, startable);
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
