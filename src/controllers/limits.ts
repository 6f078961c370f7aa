/**
 * Upper limits of teams, from the view of the owners of workers: work starts
 * only against allowance that this instance already holds.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import {
  type AllowanceExchange,
  LimitAccount,
  type LimitFailure,
} from "./limit_account.ts";
import { UnaccountedUnits } from "./unaccounted_units.ts";
import { LimitHomes, TEAM_PREFIX } from "./limit_homes.ts";
import {
  allowanceCall,
  freedNotice,
  recallNotice,
  surveyCall,
} from "./limits_protocol.ts";
import { LoopbackPeers } from "./loopback_peers.ts";
import type { Membership } from "./membership.ts";
import type { Ownership } from "./ownership.ts";

export type { LimitFailure } from "./limit_account.ts";

/** Dependencies of {@linkcode Limits}. */
export interface LimitsOptions {
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly peers: Peers;
  readonly clock: Clock;
}

/** Use of one team's limit at this instance. */
export interface LimitUsage {
  readonly team: string;
  /** Upper limit on running work; `undefined` if the team has none. */
  readonly limit: number | undefined;
  readonly granted: number;
  readonly running: number;
  readonly waiting: number;
}

/** Interval between checks for idle allowance, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 1_000;

/** Keeps the running work of each team within the team's limit. */
export class Limits {
  readonly #options: LimitsOptions;
  readonly #peers: Peers;
  readonly #homes: LimitHomes;
  readonly #unaccounted: UnaccountedUnits;
  readonly #accounts = new Map<string, LimitAccount>();
  readonly #grantedListeners: ((team: string) => void)[] = [];
  #limits: ReadonlyMap<string, number> = new Map();
  #memberSinceEpoch = 0;
  #timer: Timer | undefined;

  constructor(options: LimitsOptions) {
    const { membership, ownership } = options;
    this.#options = options;
    this.#peers = new LoopbackPeers(membership.self.id, options.peers);
    this.#unaccounted = new UnaccountedUnits(membership.self.id);
    ownership.onChange(() => this.#onMapChange());
    this.#homes = new LimitHomes({ ...options, peers: this.#peers });
    this.#registerHandlers();
  }

  start(): void {
    this.#homes.start();
    this.#scheduleIdleCheck();
  }

  stop(): void {
    this.#homes.stop();
    this.#timer?.cancel();
    for (const account of this.#accounts.values()) account.stop();
  }

  /** Sets the active limits by team. Teams without an entry have no limit. */
  setLimits(limits: ReadonlyMap<string, number>): void {
    const before = this.#limits;
    this.#limits = limits;
    for (const account of this.#accounts.values()) {
      const { team } = account;
      const from = before.get(team) ?? 0;
      const to = limits.get(team) ?? Infinity;
      account.limited = limits.has(team);
      if (to < from) account.lowerInProportion(from, to);
      if (!account.limited) account.serveWaiters();
    }
    this.#homes.setLimits(limits);
  }

  /** Acquires one unit of the local allowance. Work may start only if this returns true. */
  tryAcquire(team: string): boolean {
    return this.#account(team).tryAcquire();
  }

  /**
   * Acquires one unit; if no local allowance is free, requests more from the
   * home and waits up to `timeoutMs`.
   */
  acquire(team: string, timeoutMs: number): ResultAsync<void, LimitFailure> {
    const account = this.#account(team);
    return account.tryAcquire()
      ? okAsync(undefined)
      : account.acquire(timeoutMs);
  }

  /** Allowance that can be acquired without waiting; infinite for a team without a limit. */
  available(team: string): number {
    return this.#account(team).available;
  }

  /**
   * Requests allowance for `count` pieces of work from the home, without
   * waiting for the answer.
   */
  request(team: string, count: number): void {
    this.#account(team).request(count);
  }

  /** Upper limit of a team; `undefined` if the team has none. */
  limitOf(team: string): number | undefined {
    return this.#limits.get(team);
  }

  /** Calls `listener` with each team that has free local allowance after an answer of its home. */
  onGranted(listener: (team: string) => void): void {
    this.#grantedListeners.push(listener);
  }

  /** Returns one unit of allowance after a piece of a team's work has ended. */
  release(team: string): void {
    this.#account(team).release();
  }

  /** Counts running work that a former owner of its unit had started. */
  adopt(team: string, count: number): void {
    this.#account(team).holder.adopt(count);
  }

  /**
   * Units whose work a former owner may have started. Homes do not grant the
   * allowance that this work may use until it is counted.
   */
  unaccountedUnits(): readonly string[] {
    return this.#unaccounted.list();
  }

  /** Records that all work on a unit has been counted. */
  markAccounted(unit: string): void {
    this.#unaccounted.markAccounted(unit);
  }

  /** Use of each team's limit at this instance. */
  usage(): readonly LimitUsage[] {
    return [...this.#accounts.values()].map(({ team, holder, waiting }) => ({
      team,
      limit: this.#limits.get(team),
      granted: holder.granted,
      running: holder.running,
      waiting,
    }));
  }

  #registerHandlers(): void {
    const peers = this.#peers;
    peers.serve(allowanceCall, ({ team, since, ...request }, id) => {
      return this.#homes.handleRequest(team, request, { id, since });
    });
    peers.serve(surveyCall, ({ epoch, teams }) => {
      const map = this.#options.ownership.map();
      if (map.epoch < epoch) this.#options.membership.readMap();
      return {
        epoch: map.epoch,
        settled: this.#unaccounted.list().length === 0,
        since: this.#memberSinceEpoch,
        holdings: teams.flatMap((each) => this.#surveyTeam(each)),
      };
    });
    peers.onNotification(recallNotice, ({ team, fence, keep }) => {
      const account = this.#account(team);
      if (account.holder.acceptFence(fence)) account.recall(keep);
    });
    peers.onNotification(freedNotice, ({ team, fence }) => {
      const account = this.#account(team);
      if (account.holder.acceptFence(fence)) account.sendRequest();
    });
  }

  #surveyTeam(
    { team, fence }: { readonly team: string; readonly fence: number },
  ) {
    const account = this.#account(team);
    if (!account.holder.acceptFence(fence)) return [];
    account.limited = true;
    return [{ team, ...account.holder.report() }];
  }

  /** Resets all allowances when the other members have ended this membership. */
  #onMapChange(): void {
    const map = this.#options.ownership.map();
    this.#unaccounted.applyMap(map);
    const member = map.members.get(this.#options.membership.self.id);
    const standing = member?.standing ?? "lost";
    const since = standing === "lost" ? 0 : member!.since;
    if (since === this.#memberSinceEpoch) return;
    this.#memberSinceEpoch = since;
    for (const account of this.#accounts.values()) account.holder.reset();
  }

  /** Sends one request to the home. Returns whether a grant was received and accepted. */
  async #requestAllowance(
    team: string,
    request: AllowanceExchange,
  ): Promise<boolean> {
    const { holder, need } = request;
    const { ownership, membership } = this.#options;
    const unit = TEAM_PREFIX + team;
    const home = ownership.ownerOf(unit);
    const fence = ownership.fenceOf(unit);
    if (home === undefined || fence === undefined) return false;
    if (!holder.acceptFence(fence)) return false;
    const allowance = holder.request(need);
    const answer = await this.#peers.call(home.id, allowanceCall, {
      params: { team, since: this.#memberSinceEpoch, ...allowance },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    if (answer.isErr() || answer.value.type !== "granted") return false;
    return holder.accept(answer.value);
  }

  #scheduleIdleCheck(): void {
    this.#timer = this.#options.clock.after(IDLE_CHECK_INTERVAL_MS, () => {
      for (const account of this.#accounts.values()) account.checkIdle();
      this.#scheduleIdleCheck();
    });
  }

  #account(team: string): LimitAccount {
    const existing = this.#accounts.get(team);
    if (existing !== undefined) return existing;
    const account = new LimitAccount({
      team,
      clock: this.#options.clock,
      exchange: (request) => this.#requestAllowance(team, request),
      onGranted: () => {
        for (const listener of this.#grantedListeners) listener(team);
      },
    });
    account.limited = this.#limits.has(team);
    this.#accounts.set(team, account);
    return account;
  }
}
