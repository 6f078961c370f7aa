/**
 * Tells which submissions are within the weight of their team.
 *
 * Load pattern: one team that sends many times its usual. What is beyond its
 * weight stands behind the work of the others: urgent work behind urgent work,
 * deferrable work behind all that can be of use.
 *
 * @module
 */
import type { Clock } from "../../clock.ts";
import type { Team } from "../types.ts";

/** A team may save up its weight for so long, seconds. */
const BURST_S = 2;

interface Bucket {
  tokens: number;
  atMs: number;
}

/** A token bucket for each team. */
export class WeightMeter {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Bucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a submission; `false` if it is beyond the team's weight. */
  withinWeight(team: Team | undefined): boolean {
    if (team === undefined || team.weight === 0) return true;
    const nowMs = this.#clock.monotonic();
    const most = team.weight * BURST_S;
    const bucket = this.#buckets.get(team.name) ??
      { tokens: most, atMs: nowMs };
    this.#buckets.set(team.name, bucket);
    const earned = (nowMs - bucket.atMs) / 1000 * team.weight;
    bucket.tokens = Math.min(most, bucket.tokens + earned);
    bucket.atMs = nowMs;
    if (bucket.tokens < 1) return false;
    bucket.tokens--;
    return true;
  }
}
