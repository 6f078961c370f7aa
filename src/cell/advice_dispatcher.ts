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
import {
  channelsFor,
  type DurationClass,
  durationClassOf,
  freeSlots,
  queueDurationClass,
  typicalRequestMs,
} from "./decisions/channels.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

/** Added to twice the expected duration to get the timeout of a request. */
const TIMEOUT_SLACK_MS = 400;
/** A channel with a failed request is not used for this long. */
const CHANNEL_COOLDOWN_MS = 1_000;
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
  readonly step: string;
  readonly workers: readonly string[];
  /** Expected duration at the service, milliseconds. */
  readonly expectedMs: number;
}

/** Sends a request to the advice service through an instance. */
export type SendThrough = (
  instance: string,
  request: AdviceRequest,
  options: { readonly timeoutMs: number },
) => Promise<Advice>;

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
  readonly #cooldownUntilMs = new Map<string, number>();
  #channels: readonly string[] = [];
  #channelsReadMs = -Infinity;
  /**
   * Number of requests that could be sent now, by the queue's advice policy.
   * Cleared when a request is sent or answered.
   */
  readonly #freeSlots = new Map<AdvicePolicy, number>();
  /** Usable channels that are not in cooldown, by duration class. */
  readonly #availableChannels = new Map<DurationClass, readonly string[]>();

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

  /** Number of requests of a queue that could be sent now. */
  freeSlotsFor(advice: AdvicePolicy): number {
    const durationClass = queueDurationClass(advice);
    const channels = this.#channelsFor(durationClass);
    const cached = this.#freeSlots.get(advice);
    if (cached !== undefined) return cached;
    const expectedMs = typicalRequestMs(advice);
    const slots = channels.reduce(
      (sum, channel) =>
        sum + this.#freeSlotsIn(channel, durationClass, expectedMs),
      0,
    );
    this.#freeSlots.set(advice, slots);
    return slots;
  }

  /**
   * Sends a request through a channel with a free slot. Returns `busy` if there
   * is none.
   */
  async send(request: AdviceRequest): Promise<Advice> {
    const { expectedMs } = request;
    const durationClass = durationClassOf(expectedMs);
    const channel = this.#channelsFor(durationClass)
      .find((candidate) =>
        this.#freeSlotsIn(candidate, durationClass, expectedMs) > 0
      );
    if (channel === undefined) return { type: "busy" };
    const startedMs = this.#clock.monotonic();
    const timeoutMs = 2 * this.#addInFlight(channel, expectedMs) +
      TIMEOUT_SLACK_MS;
    this.#inFlight++;
    const advice = await this.#sendThrough(channel, request, { timeoutMs });
    this.#inFlight--;
    this.#addInFlight(channel, -expectedMs);
    const now = this.#clock.monotonic();
    if (advice.type !== "advised") {
      this.#cooldownUntilMs.set(channel, now + CHANNEL_COOLDOWN_MS);
      this.#invalidateCaches();
    }
    this.#metrics.count("advice_calls", { answer: advice.type });
    this.#metrics.observe("advice_ms", now - startedMs);
    return advice;
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
    return inFlightMs;
  }

  #invalidateCaches(): void {
    this.#availableChannels.clear();
    this.#freeSlots.clear();
  }

  #freeSlotsIn(
    channel: string,
    durationClass: DurationClass,
    expectedMs: number,
  ): number {
    const inFlightMs = this.#inFlightMs.get(channel) ?? 0;
    return freeSlots(durationClass, { inFlightMs, expectedMs });
  }

  #channelsFor(durationClass: DurationClass): readonly string[] {
    const now = this.#clock.monotonic();
    if (now - this.#channelsReadMs >= CHANNELS_REFRESH_INTERVAL_MS) {
      this.#channelsReadMs = now;
      this.#channels = this.#instances();
      this.#invalidateCaches();
    }
    const cached = this.#availableChannels.get(durationClass);
    if (cached !== undefined) return cached;
    const available = channelsFor(this.#channels, durationClass).filter((
      channel,
    ) => (this.#cooldownUntilMs.get(channel) ?? 0) <= now);
    this.#availableChannels.set(durationClass, available);
    return available;
  }
}
