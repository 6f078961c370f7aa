/**
 * Weighted dominant-resource fairness between teams, with a bounded memory of
 * what each has used.
 *
 * @module
 */
import { add, dominantShare, subtract, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";

/** Settings of {@linkcode Shares}. */
export interface ShareOptions {
  /** Time constant of the memory of past usage, milliseconds. */
  readonly memoryMs: number;
}

interface Account {
  usage: Resources;
  /** Dominant share of the fleet in use now. */
  share: number;
  /** Exponentially decaying average of `share`. */
  average: number;
  averagedAtMs: number;
  /** The rank, kept for a moment; absent once usage has changed. */
  rank: { readonly value: number; readonly atMs: number } | undefined;
}

/** Weight of a team that was given none. */
const DEFAULT_WEIGHT = 1;
/** Part of the rank that past usage makes up; the rest is present usage. */
const MEMORY_PART = 0.5;
/** How long a computed rank is used while usage does not change. */
const RANK_AGE_MS = 10;
/** Averages below this are forgotten. */
const NEGLIGIBLE_SHARE = 1e-6;

/** Usage of the fleet by team, and whose turn it is. */
export class Shares {
  readonly #accounts = new Map<string, Account>();
  readonly #memoryMs: number;
  #weights: ReadonlyMap<string, number> = new Map();
  #capacity: Resources = zeroResources;
  #nowMs = 0;

  constructor(options: ShareOptions = { memoryMs: 5_000 }) {
    this.#memoryMs = options.memoryMs;
  }

  /** Replaces the weights of all teams; a team without one has weight 1. */
  setWeights(weights: ReadonlyMap<string, number>): void {
    this.#weights = weights;
    for (const account of this.#accounts.values()) account.rank = undefined;
    this.#forgetIdle();
  }

  /** Sets what the whole fleet offers. */
  setCapacity(capacity: Resources): void {
    this.#capacity = capacity;
    for (const account of this.#accounts.values()) {
      this.#settle(account);
      account.share = this.#shareOf(account.usage);
      account.rank = undefined;
    }
  }

  /** Moves time forward. */
  advance(nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  /** Sets what a team uses over the whole fleet, as last heard. */
  setUsage(team: string, usage: Resources): void {
    const account = this.#account(team);
    this.#settle(account);
    account.usage = usage;
    account.share = this.#shareOf(usage);
    account.rank = undefined;
  }

  /** Adds what a start takes, until the next {@linkcode setUsage}. */
  charge(team: string, need: Resources): void {
    this.setUsage(team, add(this.usage(team), need));
  }

  /** Takes off what an end gives back, until the next {@linkcode setUsage}. */
  refund(team: string, need: Resources): void {
    this.setUsage(team, subtract(this.usage(team), need));
  }

  /** What a team uses over the whole fleet. */
  usage(team: string): Resources {
    return this.#accounts.get(team)?.usage ?? zeroResources;
  }

  /** A team's weight. */
  weight(team: string): number {
    return this.#weights.get(team) ?? DEFAULT_WEIGHT;
  }

  /** Present and past share of the fleet over weight: the lower, the sooner the team's turn. */
  rank(team: string): number {
    const account = this.#accounts.get(team);
    if (account === undefined) return 0;
    const known = account.rank;
    if (known !== undefined && this.#nowMs - known.atMs < RANK_AGE_MS) {
      return known.value;
    }
    const average = this.#averageNow(account);
    const blend = MEMORY_PART * average + (1 - MEMORY_PART) * account.share;
    const value = blend / this.weight(team);
    account.rank = { value, atMs: this.#nowMs };
    return value;
  }

  /** The rank that every team would have if those that use anything shared the fleet by weight. */
  fairRank(): number {
    let weights = 0;
    for (const [team, account] of this.#accounts) {
      if (account.share > 0) weights += this.weight(team);
    }
    return weights === 0 ? 1 : 1 / weights;
  }

  /** Orders teams by rank. */
  compare(a: string, b: string): number {
    return this.rank(a) - this.rank(b);
  }

  #account(team: string): Account {
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
    return Math.max(0, finite(dominantShare(usage, this.#capacity)));
  }

  #settle(account: Account): void {
    account.average = this.#averageNow(account);
    account.averagedAtMs = this.#nowMs;
  }

  #averageNow(account: Account): number {
    const elapsedMs = this.#nowMs - account.averagedAtMs;
    const kept = Math.exp(-elapsedMs / this.#memoryMs);
    return account.average * kept + account.share * (1 - kept);
  }

  #forgetIdle(): void {
    for (const [team, account] of this.#accounts) {
      const idle = account.share === 0 &&
        this.#averageNow(account) < NEGLIGIBLE_SHARE;
      if (idle && !this.#weights.has(team)) this.#accounts.delete(team);
    }
  }
}

/**
 * Divides a whole of 1 among teams by weight, none beyond its demand; what a
 * team leaves goes to the others.
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
  let left = 1;
  let weights = order.reduce((sum, [, team]) => sum + team.weight, 0);
  for (const [name, { weight, demand }] of order) {
    const part = Math.min(demand, left * weight / weights);
    entitled.set(name, part);
    left -= part;
    weights -= weight;
  }
  return entitled;
}

function finite(share: number): number {
  return Number.isFinite(share) ? share : 1;
}
