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
import { queueDurationClass, typicalRequestMs } from "./channels.ts";

/** Requests of one queue that wait. */
interface QueueBacklog {
  readonly priority: number;
  /** Duration of a typical request, milliseconds. */
  readonly typicalMs: number;
  count: number;
  /** How many of them have room for what they ask about. */
  startable: number;
}

/** The channels to the advice service. */
export interface ChannelSupply {
  /** Number of channels that can be used. */
  readonly channels: number;
  /** Whether queues with requests that are not slow use them. */
  readonly quickerActive: boolean;
}

/**
 * The requests that no channel was free for in the last scheduling pass, and
 * those of the submissions that were accepted since.
 */
export class AdviceBacklog {
  #collected = new Map<string, QueueBacklog>();
  /** Also contains the submissions since. */
  #lastPass = new Map<string, QueueBacklog>();

  /**
   * Adds a request of a queue that waits for a channel. `similarStarts`: how many
   * steps like the one that it is for have room. The others wait for room, with
   * or without advice.
   */
  add(queue: Queue, similarStarts: number): void {
    const known = backlogOf(this.#collected, queue);
    if (known === undefined) return;
    known.count++;
    known.startable = Math.max(known.startable, similarStarts);
  }

  /** Whether no request has been added in this scheduling pass. */
  get isEmpty(): boolean {
    return this.#collected.size === 0;
  }

  /** Adds the request of a submission that was accepted after the last pass. */
  addSubmission(queue: Queue): void {
    const known = backlogOf(this.#lastPass, queue);
    if (known === undefined) return;
    known.count++;
    known.startable++;
  }

  /** Ends a scheduling pass: its requests replace those of the previous one. */
  endPass(): void {
    this.#lastPass = this.#collected;
    this.#collected = new Map();
  }

  /**
   * Time until the channels have answered the waiting requests of a queue and
   * those of more urgent queues, milliseconds; 0 if none of the queue waits.
   */
  waitMs(
    { name, priority, advice }: Queue,
    { channels: usableChannels, quickerActive }: ChannelSupply,
  ): number {
    const own = this.#lastPass.get(name);
    if (own === undefined || advice === undefined) return 0;
    // Channels that have just failed are soon tried again.
    const channels = Math.max(1, usableChannels);
    let urgentMs = 0;
    for (const [other, backlog] of this.#lastPass) {
      if (other !== name && backlog.priority < priority) {
        urgentMs += durationMsOf(backlog);
      }
    }
    const isSlow = queueDurationClass(advice) === "slow";
    // Slow requests leave one channel to the others.
    const ownChannels = isSlow && quickerActive
      ? Math.max(channels - 1, CLAIMED_SHARE)
      : channels;
    return urgentMs / channels + durationMsOf(own) / ownChannels;
  }
}

/** Total duration of the requests that can lead to a start, milliseconds. */
function durationMsOf(
  { typicalMs, count, startable }: QueueBacklog,
): number {
  return typicalMs * Math.min(count, startable);
}

/** The backlog of a queue in `byQueue`; `undefined` if it needs no advice. */
function backlogOf(
  byQueue: Map<string, QueueBacklog>,
  { name, priority, advice }: Queue,
): QueueBacklog | undefined {
  if (advice === undefined) return undefined;
  const backlog = byQueue.get(name) ?? {
    priority,
    typicalMs: typicalRequestMs(advice),
    count: 0,
    startable: 0,
  };
  byQueue.set(name, backlog);
  return backlog;
}
