/**
 * Weighted dominant-resource fairness between teams, which takes recent usage into account.
 *
 * @module
 */
import { add, dominantShare, subtract, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";

/** Settings of the ranking of teams by their usage of the fleet. */
export interface ShareOptions {
  /** Time constant of the decaying average of a team's past share of the fleet, milliseconds. */
  readonly timeConstantMs: number;
}

interface TeamAccount {
  usage: Resources;
  /** The team's present dominant share of the fleet. */
  share: number;
  /** Exponentially decaying average of `share`. */
  average: number;
  averagedAtMs: number;
  /** The cached rank; absent after a change of usage, weights or capacity. */
  rank: { readonly value: number; readonly atMs: number } | undefined;
}

/** Weight of teams without a configured weight. */
const DEFAULT_WEIGHT = 1;
/** Weight of the average past share in the rank; the rest is the present share. */
const PAST_SHARE_WEIGHT = 0.5;
/** How long a cached rank is used while usage doesn't change. */
const MAX_RANK_AGE_MS = 10;
/** Teams without usage whose average share is below this are removed. */
const NEGLIGIBLE_SHARE = 1e-6;

/** Tracks each team's usage of the fleet and ranks teams by weighted share. */
export class Shares {
  readonly #accounts = new Map<string, TeamAccount>();
  readonly #timeConstantMs: number;
  #weights: ReadonlyMap<string, number> = new Map();
  #capacity: Resources = zeroResources;
  #nowMs = 0;

  constructor(options: ShareOptions = { timeConstantMs: 5_000 }) {
    this.#timeConstantMs = options.timeConstantMs;
  }

  /** Replaces the weights of all teams; teams that aren't listed have weight 1. */
  setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
    for (const account of this.#accounts.values()) account.rank = undefined;
    this.#removeIdle();
  }

  /** Sets the capacity of the whole fleet. */
  setCapacity(capacity: Resources): void {
    this.#capacity = capacity;
    for (const account of this.#accounts.values()) {
      this.#updateAverage(account);
      account.share = this.#shareOf(account.usage);
      account.rank = undefined;
    }
  }

  /** Advances the time at which the ranks apply; earlier times are ignored. */
  advance(nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  /** Replaces a team's usage of the whole fleet, as last reported. */
  setUsage(team: string, usage: Resources): void {
    const account = this.#account(team);
    this.#updateAverage(account);
    account.usage = usage;
    account.share = this.#shareOf(usage);
    account.rank = undefined;
  }

  /** Adds the resources of started work to a team's usage until the next {@linkcode Shares.setUsage}. */
  charge(team: string, need: Resources): void {
    this.setUsage(team, add(this.usage(team), need));
  }

  /** Subtracts the resources of completed work from a team's usage until the next {@linkcode Shares.setUsage}. */
  refund(team: string, need: Resources): void {
    this.setUsage(team, subtract(this.usage(team), need));
  }

  /** A team's usage of the whole fleet. */
  usage(team: string): Resources {
    return this.#accounts.get(team)?.usage ?? zeroResources;
  }

  /** A team's weight. */
  weight(team: string): number {
    return this.#weights.get(team) ?? DEFAULT_WEIGHT;
  }

  /**
   * A team's present and past share of the fleet, divided by its weight. Teams with a lower rank
   * are scheduled first.
   */
  rank(team: string): number {
    const account = this.#accounts.get(team);
    if (account === undefined) return 0;
    const cached = account.rank;
    if (cached !== undefined && this.#nowMs - cached.atMs < MAX_RANK_AGE_MS) {
      return cached.value;
    }
    const average = this.#averageNow(account);
    const weightedShare = PAST_SHARE_WEIGHT * average +
      (1 - PAST_SHARE_WEIGHT) * account.share;
    const value = weightedShare / this.weight(team);
    account.rank = { value, atMs: this.#nowMs };
    return value;
  }

  /** The rank of every team if all teams with usage shared the whole fleet by weight. */
  fairRank(): number {
    let totalWeight = 0;
    for (const [team, account] of this.#accounts) {
      if (account.share > 0) totalWeight += this.weight(team);
    }
    return totalWeight === 0 ? 1 : 1 / totalWeight;
  }

  /** Compares teams by rank, lowest first. */
  compare(a: string, b: string): number {
    return this.rank(a) - this.rank(b);
  }

  #account(team: string): TeamAccount {
    const known = this.#accounts.get(team);
    if (known !== undefined) return known;
    const account = {
      usage: zeroResources,
      share: 0,
      average: 0,
      averagedAtMs: this.#nowMs,
      rank: undefined,
    };
    this.#accounts.set(team, account);
    return account;
  }

  #shareOf(usage: Resources): number {
    return Math.max(0, finiteShare(dominantShare(usage, this.#capacity)));
  }

  #updateAverage(account: TeamAccount): void {
    account.average = this.#averageNow(account);
    account.averagedAtMs = this.#nowMs;
  }

  #averageNow(account: TeamAccount): number {
    const elapsedMs = this.#nowMs - account.averagedAtMs;
    const retained = Math.exp(-elapsedMs / this.#timeConstantMs);
    return account.average * retained + account.share * (1 - retained);
  }

  #removeIdle(): void {
    for (const [team, account] of this.#accounts) {
      const idle = account.share === 0 &&
        this.#averageNow(account) < NEGLIGIBLE_SHARE;
      if (idle && !this.#weights.has(team)) this.#accounts.delete(team);
    }
  }
}

/**
 * Divides the fleet among teams by weight, as fractions that add up to at most 1. No team gets more
 * than its demand; the rest is divided among the others.
 */
export function entitlements(
  teams: ReadonlyMap<
    string,
    { readonly weight: number; readonly demand: number }
  >,
): Map<string, number> {
  const entitled = new Map<string, number>();
  const order = [...teams].sort(([, a], [, b]) =>
    a.demand / a.weight - b.demand / b.weight
  );
  let remaining = 1;
  let remainingWeight = order.reduce((sum, [, team]) => sum + team.weight, 0);
  for (const [name, { weight, demand }] of order) {
    const part = Math.min(demand, remaining * weight / remainingWeight);
    entitled.set(name, part);
    remaining -= part;
    remainingWeight -= weight;
  }
  return entitled;
}

function finiteShare(share: number): number {
  return Number.isFinite(share) ? share : 1;
}
