/**
 * Capacity that is kept free of deferred work, so that urgent requests rarely wait for a task to
 * complete.
 *
 * @module
 */
import { zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { DecayedCount } from "./decayed_count.ts";

/** Time constant with which the rates are measured. */
const RATE_TIME_CONSTANT_MS = 5_000;
/** Maximum fraction of urgent requests that may find the headroom exhausted. */
const MAX_EXHAUSTED_FRACTION = 0.2;
/** Maximum fraction of the capacity that is reserved. */
const MAX_CAPACITY_FRACTION = 0.1;
/** Maximum ratio of arrivals to completions; limits the headroom to 32 requests. */
const MAX_RATE_RATIO = 0.95;
/** Weight of the newest request in the moving average of request sizes. */
const NEWEST_NEED_WEIGHT = 0.05;

/**
 * Computes the headroom of one instance. Requests that exceed the free capacity form a birth-death
 * process: an urgent request uses capacity, a completion releases it. With `r` as the ratio of the
 * two rates, headroom for `k` requests is exhausted for a fraction `r ** k` of the time.
 */
export class Headroom {
  readonly #arrivals = new DecayedCount(RATE_TIME_CONSTANT_MS);
  readonly #completions = new DecayedCount(RATE_TIME_CONSTANT_MS);
  #meanNeed: Resources = zeroResources;

  /** Records an urgent request that needs capacity here. */
  recordUrgent(need: Resources, nowMs: number): void {
    const first = this.#arrivals.value(nowMs) === 0;
    this.#arrivals.add(1, nowMs);
    this.#meanNeed = first ? need : weightedMean(this.#meanNeed, need);
  }

  /** Records the completion of any work here. */
  recordCompletion(nowMs: number): void {
    this.#completions.add(1, nowMs);
  }

  /** Capacity to keep free of deferred work; zero while there is no urgent work. */
  reservedCapacity(capacity: Resources, nowMs: number): Resources {
    const requestCount = this.#requestCount(nowMs);
    const reserved = (size: number, total: number) =>
      Math.min(size * requestCount, Math.floor(total * MAX_CAPACITY_FRACTION));
    return {
      cpuMillis: reserved(this.#meanNeed.cpuMillis, capacity.cpuMillis),
      memoryMib: reserved(this.#meanNeed.memoryMib, capacity.memoryMib),
      accelerators: reserved(
        this.#meanNeed.accelerators,
        capacity.accelerators,
      ),
      slots: reserved(this.#meanNeed.slots, capacity.slots),
    };
  }

  #requestCount(nowMs: number): number {
    const arrivals = this.#arrivals.value(nowMs);
    if (arrivals < 1) return 0;
    const completions = Math.max(arrivals, this.#completions.value(nowMs));
    const ratio = Math.min(MAX_RATE_RATIO, arrivals / completions);
    return Math.ceil(Math.log(MAX_EXHAUSTED_FRACTION) / Math.log(ratio));
  }
}

function weightedMean(mean: Resources, newest: Resources): Resources {
  const mix = (a: number, b: number) => a + NEWEST_NEED_WEIGHT * (b - a);
  return {
    cpuMillis: mix(mean.cpuMillis, newest.cpuMillis),
    memoryMib: mix(mean.memoryMib, newest.memoryMib),
    accelerators: mix(mean.accelerators, newest.accelerators),
    slots: mix(mean.slots, newest.slots),
  };
}
