/**
 * Upper limits of teams, as the owners of workers use them: work starts only
 * against allowance in hand.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import {
  type HolderRequest,
  LimitAccount,
  type LimitFailure,
} from "./limit_account.ts";
import { Leftovers } from "./leftovers.ts";
import { LimitHomes, TEAM_PREFIX } from "./limit_homes.ts";
import {
  allowanceCall,
  freedNotice,
  recallNotice,
  surveyCall,
} from "./limits_protocol.ts";
import { Loopback } from "./loopback.ts";
import type { Membership } from "./membership.ts";
import type { Ownership } from "./ownership.ts";

export type { LimitFailure } from "./limit_account.ts";

/** What {@linkcode Limits} works with. */
export interface LimitsOptions {
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly peers: Peers;
  readonly clock: Clock;
}

/** Use of one team's limit at this instance. */
export interface LimitUsage {
  readonly team: string;
  /** Absent if the team has no limit. */
  readonly limit: number | undefined;
  readonly granted: number;
  readonly running: number;
  readonly waiting: number;
}

/** Between two looks for idle allowance, milliseconds. */
const IDLE_CHECK_MS = 1_000;

/** Keeps the running work of each team within its limit. */
export class Limits {
  readonly #options: LimitsOptions;
  readonly #peers: Peers;
  readonly #homes: LimitHomes;
  readonly #leftovers: Leftovers;
  readonly #accounts = new Map<string, LimitAccount>();
  readonly #grantedListeners: ((team: string) => void)[] = [];
  #limits: ReadonlyMap<string, number> = new Map();
  #since = 0;
  #timer: Timer | undefined;

  constructor(options: LimitsOptions) {
    const { membership, ownership } = options;
    this.#options = options;
    this.#peers = new Loopback(membership.self.id, options.peers);
    this.#leftovers = new Leftovers(membership.self.id);
    ownership.onChange(() => this.#followMap());
    this.#homes = new LimitHomes({ ...options, peers: this.#peers });
    this.#serve();
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

  /** Puts limits in force; teams that are not named have none. */
  setLimits(limits: ReadonlyMap<string, number>): void {
    const before = this.#limits;
    this.#limits = limits;
    for (const account of this.#accounts.values()) {
      const { team } = account;
      const from = before.get(team) ?? 0;
      const to = limits.get(team) ?? Infinity;
      account.limited = limits.has(team);
      if (to < from) account.lower(from, to);
      if (!account.limited) account.serveWaiters();
    }
    this.#homes.setLimits(limits);
  }

  /** Takes one from the allowance in hand. Work may start only if this gives true. */
  tryTake(team: string): boolean {
    return this.#account(team).tryTake();
  }

  /** As {@linkcode tryTake}, asking the home if nothing is in hand. */
  take(team: string, timeoutMs: number): ResultAsync<void, LimitFailure> {
    const account = this.#account(team);
    return account.tryTake() ? okAsync(undefined) : account.take(timeoutMs);
  }

  /** How much may be taken without waiting; infinite for a team without a limit. */
  available(team: string): number {
    return this.#account(team).available;
  }

  /** Asks the home for allowance for so much work, without waiting for it. */
  want(team: string, count: number): void {
    this.#account(team).want(count);
  }

  /** A team's upper limit; `undefined` if it has none. */
  limitOf(team: string): number | undefined {
    return this.#limits.get(team);
  }

  /** Calls `listener` with a team that has allowance in hand again. */
  onGranted(listener: (team: string) => void): void {
    this.#grantedListeners.push(listener);
  }

  /** Work of a team has ended. */
  give(team: string): void {
    this.#account(team).give();
  }

  /** Counts work found running that a former owner had started. */
  adopt(team: string, count: number): void {
    this.#account(team).holder.adopt(count);
  }

  /** Workers whose work a former owner may have started; no limit is fully used until they are settled. */
  unsettled(): readonly string[] {
    return this.#leftovers.unsettled();
  }

  /** All work on a unit has been adopted. */
  settle(unit: string): void {
    this.#leftovers.settle(unit);
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

  #serve(): void {
    const peers = this.#peers;
    peers.serve(allowanceCall, ({ team, since, ...request }, id) => {
      return this.#homes.answer(team, request, { id, since });
    });
    peers.serve(surveyCall, ({ epoch, teams }) => {
      const map = this.#options.ownership.map();
      if (map.epoch < epoch) this.#options.membership.readMap();
      return {
        epoch: map.epoch,
        settled: this.#leftovers.unsettled().length === 0,
        since: this.#since,
        holdings: teams.flatMap((each) => this.#surveyed(each)),
      };
    });
    peers.onNotification(recallNotice, ({ team, fence, keep }) => {
      const account = this.#account(team);
      if (account.holder.obey(fence)) account.recall(keep);
    });
    peers.onNotification(freedNotice, ({ team, fence }) => {
      const account = this.#account(team);
      if (account.holder.obey(fence)) account.ask();
    });
  }

  #surveyed(
    { team, fence }: { readonly team: string; readonly fence: number },
  ) {
    const account = this.#account(team);
    if (!account.holder.obey(fence)) return [];
    account.limited = true;
    return [{ team, ...account.holder.report() }];
  }

  /** Drops the allowances of a membership that others have ended. */
  #followMap(): void {
    const map = this.#options.ownership.map();
    this.#leftovers.follow(map);
    const member = map.members.get(this.#options.membership.self.id);
    const standing = member?.standing ?? "lost";
    const since = standing === "lost" ? 0 : member!.since;
    if (since === this.#since) return;
    this.#since = since;
    for (const account of this.#accounts.values()) account.holder.reset();
  }

  /** One request to the home; gives whether it was answered in full. */
  async #exchange(team: string, request: HolderRequest): Promise<boolean> {
    const { holder, need } = request;
    const { ownership, membership } = this.#options;
    const unit = TEAM_PREFIX + team;
    const home = ownership.ownerOf(unit);
    const fence = ownership.fenceOf(unit);
    if (home === undefined || fence === undefined) return false;
    if (!holder.obey(fence)) return false;
    const allowance = holder.request(need);
    const answer = await this.#peers.call(home.id, allowanceCall, {
      params: { team, since: this.#since, ...allowance },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    if (answer.isErr() || answer.value.type !== "granted") return false;
    return holder.accept(answer.value);
  }

  #scheduleIdleCheck(): void {
    this.#timer = this.#options.clock.after(IDLE_CHECK_MS, () => {
      for (const account of this.#accounts.values()) account.checkIdle();
      this.#scheduleIdleCheck();
    });
  }

  #account(team: string): LimitAccount {
    const known = this.#accounts.get(team);
    if (known !== undefined) return known;
    const account = new LimitAccount({
      team,
      clock: this.#options.clock,
      exchange: (request) => this.#exchange(team, request),
      granted: () => {
        for (const listener of this.#grantedListeners) listener(team);
      },
    });
    account.limited = this.#limits.has(team);
    this.#accounts.set(team, account);
    return account;
  }
}
