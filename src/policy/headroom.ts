/**
 * Room that deferred work leaves free, so that an urgent request seldom has to
 * wait for a task to end.
 *
 * @module
 */
import { zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { DecayedCount } from "./decay.ts";

/** Time constant of the measured rates. */
const MEMORY_MS = 5_000;
/** Part of the urgent requests that may find the headroom used up. */
const EXHAUSTED_PART = 0.2;
/** Largest part of the capacity that is kept free. */
const MAX_PART = 0.1;
/** Ratio of rates above which only {@linkcode MAX_PART} bounds the headroom. */
const SATURATED_RATIO = 0.95;
/** Weight of the newest request in the mean size. */
const NEED_WEIGHT = 0.05;

/**
 * Sizes the headroom of one instance. The requests beyond the free room form a
 * birth-death process: urgent requests take room, every end gives some back;
 * with a ratio `r` of the rates, `k` places are used up for a part `r ** k` of
 * the time.
 */
export class Headroom {
  readonly #urgent = new DecayedCount(MEMORY_MS);
  readonly #ended = new DecayedCount(MEMORY_MS);
  #need: Resources = zeroResources;

  /** Notes an urgent request that asks for room here. */
  urgent(need: Resources, nowMs: number): void {
    const first = this.#urgent.value(nowMs) === 0;
    this.#urgent.add(1, nowMs);
    this.#need = first ? need : blend(this.#need, need);
  }

  /** Notes the end of any work here. */
  ended(nowMs: number): void {
    this.#ended.add(1, nowMs);
  }

  /** Room to keep free of deferred work; none while there is no urgent work. */
  room(capacity: Resources, nowMs: number): Resources {
    const places = this.#places(nowMs);
    const kept = (size: number, whole: number) =>
      Math.min(size * places, Math.floor(whole * MAX_PART));
    return {
      cpuMillis: kept(this.#need.cpuMillis, capacity.cpuMillis),
      memoryMib: kept(this.#need.memoryMib, capacity.memoryMib),
      accelerators: kept(this.#need.accelerators, capacity.accelerators),
      slots: kept(this.#need.slots, capacity.slots),
    };
  }

  #places(nowMs: number): number {
    const urgent = this.#urgent.value(nowMs);
    if (urgent < 1) return 0;
    const ended = Math.max(urgent, this.#ended.value(nowMs));
    const ratio = Math.min(SATURATED_RATIO, urgent / ended);
    return Math.ceil(Math.log(EXHAUSTED_PART) / Math.log(ratio));
  }
}

function blend(mean: Resources, newest: Resources): Resources {
  const part = (a: number, b: number) => a + NEED_WEIGHT * (b - a);
  return {
    cpuMillis: part(mean.cpuMillis, newest.cpuMillis),
    memoryMib: part(mean.memoryMib, newest.memoryMib),
    accelerators: part(mean.accelerators, newest.accelerators),
    slots: part(mean.slots, newest.slots),
  };
}
