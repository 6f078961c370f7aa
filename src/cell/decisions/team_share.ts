/**
 * Decides which submissions are within the share of their team.
 *
 * Load pattern: one team that submits many times its usual load. Its
 * submissions beyond its share are placed after the work of other teams: urgent
 * work after other urgent work, deferrable work after everything that is still
 * of value.
 *
 * @module
 */
import type { Clock } from "../../clock.ts";
import type { Team } from "../types.ts";

/** Seconds of unused weight that a team can accumulate. */
const BURST_S = 2;

interface TokenBucket {
  tokens: number;
  atMs: number;
}

/** A token bucket for each team, refilled with its weight. */
export class TeamShareMeter {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, TokenBucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Counts a submission and returns whether it is within the team's share.
   * Always true for teams without a weight.
   */
  tryConsume(team: Team | undefined): boolean {
    if (team === undefined || team.weight === 0) return true;
    const nowMs = this.#clock.monotonic();
    const maxTokens = team.weight * BURST_S;
    const bucket = this.#buckets.get(team.name) ??
      { tokens: maxTokens, atMs: nowMs };
    this.#buckets.set(team.name, bucket);
    const earned = (nowMs - bucket.atMs) / 1000 * team.weight;
    bucket.tokens = Math.min(maxTokens, bucket.tokens + earned);
    bucket.atMs = nowMs;
    if (bucket.tokens < 1) return false;
    bucket.tokens--;
    return true;
  }
}
