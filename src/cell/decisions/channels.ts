/**
 * Assignment of advice requests to channels. A channel is an instance that
 * relays requests to the advice service.
 *
 * Load pattern: hundreds of advice requests at once, which take ten
 * milliseconds for urgent steps and from a tenth of a second to more than a
 * second for others. The service handles one request per instance at a time, so
 * slow requests must leave channels to the quick ones. The way through an
 * instance and a busy leader takes longer than a quick request itself, so a
 * channel has several quick requests in flight at once.
 *
 * @module
 */
import type { AdvicePolicy } from "../types.ts";

/** Class of advice requests by duration. */
export type DurationClass = "quick" | "medium" | "slow";

/** Longest duration of a quick request, milliseconds. */
const MAX_QUICK_MS = 30;
/** Longest duration of a medium request, milliseconds. */
const MAX_MEDIUM_MS = 250;
/** Share of the channels that medium requests may use. */
const MEDIUM_CHANNEL_SHARE = 0.75;
/** Share of the channels that slow requests may use. */
const SLOW_CHANNEL_SHARE = 0.55;
/** Workers in a typical request. */
export const TYPICAL_REQUEST_WORKERS = 30;
/** Workers that every request may name, whatever its duration class. */
const MIN_REQUEST_WORKERS = 10;
/** Most workers in a request; source: the platform's pages. */
const MAX_REQUEST_WORKERS = 100;

/** The class of a request with this expected duration, milliseconds. */
export function durationClassOf(expectedMs: number): DurationClass {
  if (expectedMs <= MAX_QUICK_MS) return "quick";
  return expectedMs <= MAX_MEDIUM_MS ? "medium" : "slow";
}

/** The class of a queue's requests. */
export function queueDurationClass(
  { baseMs, perWorkerMs }: AdvicePolicy,
): DurationClass {
  return durationClassOf(baseMs + MIN_REQUEST_WORKERS * perWorkerMs);
}

/**
 * Duration of a typical request of a queue in the advice service, milliseconds.
 */
export function typicalRequestMs(advice: AdvicePolicy): number {
  const workers = Math.min(TYPICAL_REQUEST_WORKERS, maxRequestWorkers(advice));
  return advice.baseMs + workers * advice.perWorkerMs;
}

/**
 * Most workers in a request of a queue: with more, the request would fall into
 * a slower class.
 */
export function maxRequestWorkers(advice: AdvicePolicy): number {
  const { baseMs, perWorkerMs } = advice;
  const limitMs = maxDurationMs(queueDurationClass(advice));
  if (perWorkerMs === 0 || limitMs === Infinity) return MAX_REQUEST_WORKERS;
  const maxWorkers = Math.floor((limitMs - baseMs) / perWorkerMs);
  return Math.min(
    MAX_REQUEST_WORKERS,
    Math.max(MIN_REQUEST_WORKERS, maxWorkers),
  );
}

/**
 * How many more requests of a class a channel takes now.
 *
 * `inFlightMs`: expected duration of the requests in flight there, milliseconds. A
 * quick request may wait behind others for at most {@linkcode MAX_QUICK_MS};
 * medium and slow requests need an idle channel.
 */
export function freeSlots(
  durationClass: DurationClass,
  { inFlightMs, expectedMs }: {
    readonly inFlightMs: number;
    /** Expected duration of one such request, milliseconds. */
    readonly expectedMs: number;
  },
): number {
  if (inFlightMs === 0 && durationClass !== "quick") return 1;
  switch (durationClass) {
    case "slow":
    case "medium":
      return 0;
    case "quick": {
      const slots = Math.floor((MAX_QUICK_MS - inFlightMs) / expectedMs);
      return Math.max(inFlightMs === 0 ? 1 : 0, slots);
    }
  }
}

/**
 * The channels that a class may use, the preferred ones first. Quick requests
 * prefer the last channels, slow ones the first.
 */
export function channelsFor(
  channels: readonly string[],
  durationClass: DurationClass,
): readonly string[] {
  const first = (share: number) =>
    channels.slice(0, Math.max(1, Math.floor(channels.length * share)));
  switch (durationClass) {
    case "slow":
      return first(SLOW_CHANNEL_SHARE);
    case "medium":
      return first(MEDIUM_CHANNEL_SHARE).reverse();
    case "quick":
      return [...channels].reverse();
  }
}

/**
 * The channels that a class may use only when it has waited, the preferred ones
 * first.
 */
export function otherChannelsFor(
  channels: readonly string[],
  durationClass: DurationClass,
): readonly string[] {
  const own = new Set(channelsFor(channels, durationClass));
  return channels.filter((channel) => !own.has(channel));
}

function maxDurationMs(durationClass: DurationClass): number {
  switch (durationClass) {
    case "quick":
      return MAX_QUICK_MS;
    case "medium":
      return MAX_MEDIUM_MS;
    case "slow":
      return Infinity;
  }
}
