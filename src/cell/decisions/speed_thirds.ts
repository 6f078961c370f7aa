/**
 * In which third of its service by speed a worker is.
 *
 * Load pattern: workers of uneven speed, on which urgent run times tell whether
 * placement keeps urgent work off the slow ones. The bounds are kept for a
 * while, so that an end costs no look at all workers.
 *
 * @module
 */
import type { Fleet, FleetWorker } from "../fleet.ts";
import { timeFactorOf } from "./worker_choice.ts";

/** A third of the workers of a service; all are in the middle one if they are alike. */
export type SpeedThird = "fast" | "middle" | "slow";

/** Bounds are computed again after this, milliseconds: learned speeds change within seconds. */
const STANDS_MS = 1_000;

/** Time factors that bound the middle third of a service. */
interface Bounds {
  readonly fast: number;
  readonly middle: number;
  readonly slow: number;
  readonly computedMs: number;
}

/** Sorts workers into thirds. */
export class SpeedThirds {
  readonly #fleet: Fleet;
  readonly #bounds = new Map<string, Bounds>();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** The third of a worker at a monotonic time, milliseconds. */
  of(worker: FleetWorker, nowMs: number): SpeedThird {
    const { fast, middle, slow } = this.#boundsOf(worker, nowMs);
    const timeFactor = timeFactorOf(worker);
    if (timeFactor <= fast && timeFactor < middle) return "fast";
    return timeFactor >= slow && timeFactor > middle ? "slow" : "middle";
  }

  #boundsOf({ entry }: FleetWorker, nowMs: number): Bounds {
    const service = entry?.service ?? "";
    const known = this.#bounds.get(service);
    if (known !== undefined && nowMs - known.computedMs < STANDS_MS) {
      return known;
    }
    const factors = [...this.#fleet.workers.values()]
      .filter((worker) => worker.entry?.service === service)
      .map(timeFactorOf)
      .sort((a, b) => a - b);
    const at = (part: number) => factors[Math.floor(part * factors.length)];
    const bounds = {
      fast: factors[Math.ceil(factors.length / 3) - 1] ?? 1,
      middle: at(1 / 2) ?? 1,
      slow: at(2 / 3) ?? 1,
      computedMs: nowMs,
    };
    this.#bounds.set(service, bounds);
    return bounds;
  }
}
