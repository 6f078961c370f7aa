/**
 * Assigns workers to the terciles of their service by speed.
 *
 * Load pattern: workers of uneven speed, where the urgent run times by tercile
 * show whether placement keeps urgent work off the slow workers. The bounds of
 * the terciles are cached, so that a completion does not cost a scan of all
 * workers.
 *
 * @module
 */
import type { Fleet, FleetWorker } from "../fleet.ts";
import { timeFactorOf } from "./worker_ranking.ts";

/**
 * Tercile of a worker within its service; `middle` for all workers if they are
 * alike.
 */
export type SpeedTercile = "fast" | "middle" | "slow";

/**
 * Age at which the bounds are computed again, milliseconds: learned speeds
 * change within seconds.
 */
const BOUNDS_LIFETIME_MS = 1_000;

/** Time factors that bound the terciles of a service. */
interface Bounds {
  readonly fastMax: number;
  readonly median: number;
  readonly slowMin: number;
  readonly computedMs: number;
}

/** Assigns workers to terciles. */
export class SpeedTerciles {
  readonly #fleet: Fleet;
  readonly #bounds = new Map<string, Bounds>();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** The tercile of a worker. `nowMs`: monotonic milliseconds. */
  of(worker: FleetWorker, nowMs: number): SpeedTercile {
    const { fastMax, median, slowMin } = this.#boundsOf(worker, nowMs);
    const timeFactor = timeFactorOf(worker);
    if (timeFactor <= fastMax && timeFactor < median) return "fast";
    return timeFactor >= slowMin && timeFactor > median ? "slow" : "middle";
  }

  #boundsOf({ entry }: FleetWorker, nowMs: number): Bounds {
    const service = entry?.service ?? "";
    const cached = this.#bounds.get(service);
    if (
      cached !== undefined && nowMs - cached.computedMs < BOUNDS_LIFETIME_MS
    ) {
      return cached;
    }
    const factors = [...this.#fleet.workers.values()]
      .filter((worker) => worker.entry?.service === service)
      .map(timeFactorOf)
      .sort((a, b) => a - b);
    const atShare = (share: number) =>
      factors[Math.floor(share * factors.length)];
    const bounds = {
      fastMax: factors[Math.ceil(factors.length / 3) - 1] ?? 1,
      median: atShare(1 / 2) ?? 1,
      slowMin: atShare(2 / 3) ?? 1,
      computedMs: nowMs,
    };
    this.#bounds.set(service, bounds);
    return bounds;
  }
}
