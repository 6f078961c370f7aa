/**
 * Sends advice requests through all instances.
 *
 * Requests are never queued. When a channel is free, the caller sends a request
 * for the first step of the backlog that has capacity at that moment.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Metrics } from "../metrics.ts";
import { ChannelDemand } from "./decisions/channel_demand.ts";
import {
  channelsFor,
  type DurationClass,
  durationClassOf,
  freeSlots,
  otherChannelsFor,
  queueDurationClass,
  typicalRequestMs,
} from "./decisions/channels.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

/** Added to twice the expected duration to get the timeout of a request. */
const TIMEOUT_SLACK_MS = 400;
/** A channel with a failed request is not used for this long. */
const CHANNEL_COOLDOWN_MS = 1_000;
/** The same for a channel that has failed several times in a row. */
const MAX_CHANNEL_COOLDOWN_MS = 4_000;
/**
 * A channel whose requests in flight have a total expected duration below this
 * counts as idle: the rest is a rounding error.
 */
const MIN_IN_FLIGHT_MS = 0.01;
/**
 * The list of instances is read again after this time. Scheduling passes are
 * more frequent.
 */
const CHANNELS_REFRESH_INTERVAL_MS = 25;

/** One advice request: which of the workers may run the step. */
export interface AdviceRequest {
  /** Name of the step's queue. */
  readonly queue: string;
  readonly step: string;
  readonly workers: readonly string[];
  /**
   * Starts of the workers' processes, in the order of `workers`, for the caches
   * of the instances; the service gets only the ids.
   */
  readonly processStartsMs?: readonly (number | undefined)[];
  /** Expected duration at the service, milliseconds. */
  readonly expectedMs: number;
  /** The same of a typical request of the queue. */
  readonly typicalMs: number;
}

/** Sends a request to the advice service through an instance. */
export type SendThrough = (
  instance: string,
  request: AdviceRequest,
  options: { readonly timeoutMs: number },
) => Promise<Advice>;

/** A queue whose steps need advice. */
export interface AdvisedQueue {
  readonly name: string;
  readonly advice: AdvicePolicy;
}

/** The requests of a queue that look for a channel. */
interface ChannelSearch {
  readonly queue: string;
  readonly durationClass: DurationClass;
  /** Expected duration of one of them, milliseconds. */
  readonly expectedMs: number;
}

/** The failed requests in a row on a channel. */
interface Failures {
  readonly count: number;
  /** When the last one failed, monotonic milliseconds. */
  readonly atMs: number;
  /** End of the cooldown, monotonic milliseconds. */
  readonly untilMs: number;
}

/** The channels of a duration class that are not in cooldown. */
interface ClassChannels {
  /** Channels that the class may always use, the preferred ones first. */
  readonly own: readonly string[];
  /** The others, the preferred ones first. */
  readonly others: readonly string[];
}

/**
 * Spreads the advice requests of one cell over the channels. Each instance is
 * one channel, since the service handles one request of an instance at a time.
 */
export class AdviceDispatcher {
  readonly #sendThrough: SendThrough;
  readonly #instances: () => readonly string[];
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  /**
   * Expected duration of the requests in flight on each channel, milliseconds.
   */
  readonly #inFlightMs = new Map<string, number>();
  #inFlight = 0;
  readonly #failures = new Map<string, Failures>();
  #channels: readonly string[] = [];
  #channelsReadMs = -Infinity;
  /** Channels with a slow request in flight. */
  readonly #slowChannels = new Set<string>();
  readonly #demand = new ChannelDemand();
  /**
   * Number of requests that could be sent now, by queue. Cleared when a request
   * is sent or answered.
   */
  readonly #freeSlots = new Map<string, number>();
  /** Channels that are not in cooldown, by duration class. */
  readonly #availableChannels = new Map<DurationClass, ClassChannels>();
  /**
   * Queues that claim a channel, by channel; `undefined` when they have to be
   * determined anew.
   */
  #claims: ReadonlyMap<string, string> | undefined;

  /** `instances`: returns the instances that can pass on requests now. */
  constructor(
    sendThrough: SendThrough,
    instances: () => readonly string[],
    { clock, metrics }: { readonly clock: Clock; readonly metrics: Metrics },
  ) {
    this.#sendThrough = sendThrough;
    this.#instances = instances;
    this.#clock = clock;
    this.#metrics = metrics;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of channels that are not in cooldown. */
  get channelCount(): number {
    this.#refreshChannels();
    return this.#channelsOf("quick").own.length;
  }

  /** Whether queues whose requests are not slow use channels. */
  get quickerActive(): boolean {
    return this.#demand.quickerActive(this.#clock.monotonic());
  }

  /** Number of requests of a queue that could be sent now. */
  freeSlotsFor({ name, advice }: AdvisedQueue): number {
    this.#refreshChannels();
    const cached = this.#freeSlots.get(name);
    if (cached !== undefined) return cached;
    const search = {
      queue: name,
      durationClass: queueDurationClass(advice),
      expectedMs: typicalRequestMs(advice),
    };
    const slots = this.#channelsOf(search.durationClass).own.reduce(
      (sum, channel) => sum + this.#freeSlotsIn(channel, search),
      0,
    );
    const usable = slots > 0 || this.#findBorrowed(search) === undefined
      ? slots
      : 1;
    this.#freeSlots.set(name, usable);
    return usable;
  }

  /**
   * Records that a queue has a request to send and no free slot. After a while
   * it gets one, even if others have to wait for it.
   */
  recordRefusal({ name, advice }: AdvisedQueue): void {
    this.#demand.recordRefusal(name, {
      slow: queueDurationClass(advice) === "slow",
      typicalMs: typicalRequestMs(advice),
      nowMs: this.#clock.monotonic(),
    });
  }

  /** Records that a queue has had a free slot and no request to send. */
  recordUnused({ name }: AdvisedQueue): void {
    this.#demand.recordUnused(name, this.#clock.monotonic());
  }

  /**
   * Sends a request through a channel with a free slot. Returns `busy` if there
   * is none.
   */
  async send(request: AdviceRequest): Promise<Advice> {
    const { queue, expectedMs, typicalMs } = request;
    this.#refreshChannels();
    const durationClass = durationClassOf(expectedMs);
    const channel = this.#findChannel({
      queue,
      durationClass,
      // A slot that is free for a typical request is free for a longer one: no
      // channel may ever be idle.
      expectedMs: Math.min(expectedMs, typicalMs),
    });
    if (channel === undefined) return { type: "busy" };
    const startedMs = this.#clock.monotonic();
    const slow = durationClass === "slow";
    if (slow) this.#slowChannels.add(channel);
    this.#demand.recordSent(queue, { slow, nowMs: startedMs });
    const timeoutMs = 2 * this.#addInFlight(channel, expectedMs) +
      TIMEOUT_SLACK_MS;
    this.#inFlight++;
    const advice = await this.#sendThrough(channel, request, { timeoutMs })
      // Whatever has failed, the channel must become free again.
      .catch((error): Advice => ({ type: "failed", message: String(error) }));
    this.#inFlight--;
    const now = this.#clock.monotonic();
    const answered = advice.type === "advised";
    if (slow) this.#slowChannels.delete(channel);
    this.#demand.recordEnd(queue, { answered, nowMs: now });
    this.#addInFlight(channel, -expectedMs);
    if (answered) this.#failures.delete(channel);
    else this.#coolDown(channel, { sentMs: startedMs, nowMs: now });
    this.#metrics.count("advice_calls", { answer: advice.type });
    this.#metrics.observe("advice_ms", now - startedMs);
    return advice;
  }

  /**
   * Does not use a channel for a while, which is longer each time that it fails
   * in a row: a queue that prefers it would otherwise wait for it again and
   * again.
   */
  #coolDown(
    channel: string,
    { sentMs, nowMs }: { readonly sentMs: number; readonly nowMs: number },
  ): void {
    const last = this.#failures.get(channel);
    // Requests that were in flight together usually fail for the same reason.
    if (last !== undefined && sentMs <= last.atMs) return;
    const count = (last?.count ?? 0) + 1;
    const cooldownMs = Math.min(
      MAX_CHANNEL_COOLDOWN_MS,
      CHANNEL_COOLDOWN_MS * 2 ** (count - 1),
    );
    const untilMs = nowMs + cooldownMs;
    this.#failures.set(channel, { count, atMs: nowMs, untilMs });
    this.#invalidateCaches();
  }

  /**
   * The channels that are not in cooldown. If there is none, the shortest
   * cooldown counts for all: no queue has another channel to use meanwhile.
   */
  #usableChannels(nowMs: number): readonly string[] {
    const failures = this.#failures;
    const usable = this.#channels.filter((channel) =>
      (failures.get(channel)?.untilMs ?? 0) <= nowMs
    );
    if (usable.length > 0) return usable;
    return this.#channels.filter((channel) =>
      (failures.get(channel)?.atMs ?? 0) + CHANNEL_COOLDOWN_MS <= nowMs
    );
  }

  /**
   * Adds to the expected duration of the requests in flight on a channel and
   * returns the new sum, milliseconds.
   */
  #addInFlight(channel: string, changeMs: number): number {
    const inFlightMs = (this.#inFlightMs.get(channel) ?? 0) + changeMs;
    // Rounding errors of the sum must not count as requests in flight.
    if (inFlightMs < MIN_IN_FLIGHT_MS) this.#inFlightMs.delete(channel);
    else this.#inFlightMs.set(channel, inFlightMs);
    this.#freeSlots.clear();
    this.#claims = undefined;
    return inFlightMs;
  }

  #invalidateCaches(): void {
    this.#availableChannels.clear();
    this.#freeSlots.clear();
    this.#claims = undefined;
  }

  #findChannel(search: ChannelSearch): string | undefined {
    return this.#channelsOf(search.durationClass).own.find((channel) =>
      this.#freeSlotsIn(channel, search) > 0
    ) ?? this.#findBorrowed(search);
  }

  /**
   * An idle channel of other classes that a queue may use because it has
   * waited.
   */
  #findBorrowed(search: ChannelSearch): string | undefined {
    const { queue, durationClass } = search;
    if (!this.#demand.mayBorrow(queue, this.#clock.monotonic())) {
      return undefined;
    }
    return this.#channelsOf(durationClass).others.find((channel) =>
      !this.#inFlightMs.has(channel) && this.#freeSlotsIn(channel, search) > 0
    );
  }

  /** Number of requests that a channel takes now. */
  #freeSlotsIn(
    channel: string,
    { queue, durationClass, expectedMs }: ChannelSearch,
  ): number {
    const claimedBy = this.#claimedChannels().get(channel);
    if (claimedBy !== undefined && claimedBy !== queue) return 0;
    if (claimedBy === undefined && this.#isKeptFree(durationClass)) return 0;
    const inFlightMs = this.#inFlightMs.get(channel) ?? 0;
    return freeSlots(durationClass, { inFlightMs, expectedMs });
  }

  /**
   * Whether the last channel without a slow request is kept for queues with
   * quicker requests that use channels. A slow request needs a claim for it.
   */
  #isKeptFree(durationClass: DurationClass): boolean {
    return durationClass === "slow" &&
      this.#slowChannels.size + 1 >= this.#channelsOf("quick").own.length &&
      this.quickerActive;
  }

  /**
   * Assigns each claim to the channel that is idle first. A channel is the
   * target of one claim at most.
   */
  #claimedChannels(): ReadonlyMap<string, string> {
    if (this.#claims !== undefined) return this.#claims;
    const claims = new Map<string, string>();
    const queues = this.#demand.claimingQueues(this.#clock.monotonic());
    for (const queue of queues) {
      const channel = this.#channelsOf("quick").own
        .filter((candidate) => !claims.has(candidate))
        .sort((a, b) => this.#inFlightMsOn(a) - this.#inFlightMsOn(b))[0];
      if (channel !== undefined) claims.set(channel, queue);
    }
    this.#claims = claims;
    return claims;
  }

  #inFlightMsOn(channel: string): number {
    return this.#inFlightMs.get(channel) ?? 0;
  }

  #refreshChannels(): void {
    const now = this.#clock.monotonic();
    if (now - this.#channelsReadMs < CHANNELS_REFRESH_INTERVAL_MS) return;
    this.#channelsReadMs = now;
    this.#channels = this.#instances();
    this.#invalidateCaches();
  }

  #channelsOf(durationClass: DurationClass): ClassChannels {
    const cached = this.#availableChannels.get(durationClass);
    if (cached !== undefined) return cached;
    const usable = this.#usableChannels(this.#clock.monotonic());
    const channels = {
      own: channelsFor(usable, durationClass),
      others: otherChannelsFor(usable, durationClass),
    };
    this.#availableChannels.set(durationClass, channels);
    return channels;
  }
}
