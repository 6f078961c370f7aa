/**
 * Upper limits of teams, as the owners of workers use them: work starts only
 * against allowance in hand.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../clock.ts";
import type { Failure } from "../errors.ts";
import type { Peers } from "../ports/peers.ts";
import { AllowanceHolder } from "../state/allowance.ts";
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

/** Why work may not start. */
export type LimitFailure =
  /** The team has as much running as it may. */
  | (Failure & {
    readonly type: "overLimit";
    readonly team: string;
    readonly retryAfterMs: number;
  })
  /** Whoever knows how much the team has running cannot be asked. */
  | (Failure & { readonly type: "homeAway"; readonly team: string });

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

/** Time after which allowance that was not used is returned, milliseconds. */
const IDLE_RETURN_MS = 10_000;
/** Between two looks for idle allowance, milliseconds. */
const IDLE_CHECK_MS = 1_000;
/** How long after a recall allowance is returned at once, milliseconds. */
const SCARCE_MS = 1_000;
/** Wait before a home that is not ready is asked again, milliseconds. */
const HOME_RETRY_MS = 50;
/** Wait before a home that had nothing left is asked again, milliseconds. */
const REFUSED_RETRY_MS = 250;
/** Allowance in hand at which more is asked for ahead of need. */
const LOW_WATER = 2;

interface Waiter {
  readonly settle: (failure: LimitFailure | undefined) => void;
  readonly timer: Timer;
}

interface Account {
  readonly team: string;
  readonly holder: AllowanceHolder;
  readonly waiters: Waiter[];
  limited: boolean;
  asking: boolean;
  /** Most to keep while others wait. */
  keep: number;
  /** Most to keep after a limit was lowered. */
  ceiling: number;
  scarceUntilMs: number;
  usedAtMs: number;
  homeAnswered: boolean;
  retry: Timer | undefined;
}

/** Keeps the running work of each team within its limit. */
export class Limits {
  readonly #options: LimitsOptions;
  readonly #peers: Peers;
  readonly #homes: LimitHomes;
  readonly #leftovers: Leftovers;
  readonly #accounts = new Map<string, Account>();
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
    for (const account of this.#accounts.values()) account.retry?.cancel();
  }

  /** Puts limits in force; teams that are not named have none. */
  setLimits(limits: ReadonlyMap<string, number>): void {
    const before = this.#limits;
    this.#limits = limits;
    for (const account of this.#accounts.values()) {
      const { team } = account;
      account.limited = limits.has(team);
      this.#lower(account, { from: before.get(team), to: limits.get(team) });
      if (!account.limited) this.#serveWaiters(account);
    }
    this.#homes.setLimits(limits);
  }

  /** Takes one from the allowance in hand. Work may start only if this gives true. */
  tryTake(team: string): boolean {
    const account = this.#account(team);
    if (account.waiters.length > 0) return false;
    return this.#takeInHand(account);
  }

  /** As {@linkcode tryTake}, asking the home if nothing is in hand. */
  take(team: string, timeoutMs: number): ResultAsync<void, LimitFailure> {
    if (this.tryTake(team)) return okAsync(undefined);
    const account = this.#account(team);
    return this.#wait(account, timeoutMs);
  }

  /** Work of a team has ended. */
  give(team: string): void {
    const account = this.#account(team);
    account.holder.give();
    account.usedAtMs = this.#now();
    if (account.ceiling < Infinity) this.#trimToCeiling(account);
    if (this.#scarce(account)) this.#trim(account, account.keep);
    this.#serveWaiters(account);
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
    return [...this.#accounts.values()].map(({ team, holder, waiters }) => ({
      team,
      limit: this.#limits.get(team),
      granted: holder.granted,
      running: holder.running,
      waiting: waiters.length,
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
    peers.listen(recallNotice, ({ team, fence, keep }) => {
      const account = this.#account(team);
      if (!account.holder.obey(fence)) return;
      account.keep = keep;
      account.scarceUntilMs = this.#now() + SCARCE_MS;
      this.#trim(account, keep);
    });
    peers.listen(freedNotice, ({ team, fence }) => {
      const account = this.#account(team);
      if (account.holder.obey(fence)) this.#ask(account);
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

  /** A lowered limit lowers every allowance in proportion, before the home says so. */
  #lower(
    account: Account,
    change: { readonly from?: number; readonly to?: number },
  ): void {
    const { from, to } = change;
    if (from === undefined || to === undefined || to >= from) return;
    const part = Math.floor(account.holder.granted * to / from);
    account.ceiling = Math.min(account.ceiling, part);
    this.#trimToCeiling(account);
  }

  #trimToCeiling(account: Account): void {
    this.#trim(account, account.ceiling);
    if (account.holder.granted <= account.ceiling) account.ceiling = Infinity;
  }

  #takeInHand(account: Account): boolean {
    const { holder } = account;
    account.usedAtMs = this.#now();
    if (!account.limited) {
      holder.adopt(1);
      return true;
    }
    const taken = holder.tryTake();
    const low = taken && holder.spare <= LOW_WATER;
    if (low && !this.#scarce(account)) this.#ask(account);
    return taken;
  }

  #wait(account: Account, timeoutMs: number): ResultAsync<void, LimitFailure> {
    const { clock } = this.#options;
    if (account.waiters.length === 0) account.homeAnswered = false;
    const failure = new Promise<LimitFailure | undefined>((settle) => {
      const timer = clock.after(timeoutMs, () => {
        account.waiters.splice(account.waiters.indexOf(waiter), 1);
        settle(this.#failureOf(account));
      });
      const waiter = { settle, timer };
      account.waiters.push(waiter);
    });
    this.#ask(account);
    return ResultAsync.fromSafePromise(failure).andThen((failed) =>
      failed === undefined ? okAsync(undefined) : errAsync(failed)
    );
  }

  #failureOf({ team, homeAnswered }: Account): LimitFailure {
    if (!homeAnswered) {
      const message = "the home of the team's limit does not answer";
      return { type: "homeAway", team, message };
    }
    return {
      type: "overLimit",
      team,
      message: "the team has as much running as its limit allows",
      retryAfterMs: REFUSED_RETRY_MS,
    };
  }

  #serveWaiters(account: Account): void {
    while (account.waiters.length > 0 && this.#takeInHand(account)) {
      const waiter = account.waiters.shift()!;
      waiter.timer.cancel();
      waiter.settle(undefined);
    }
  }

  /** Asks the home for what the waiters need, or for some ahead of need. */
  async #ask(account: Account): Promise<void> {
    if (account.asking || !account.limited) return;
    account.asking = true;
    const answered = await this.#exchange(account, this.#needOf(account));
    account.asking = false;
    this.#serveWaiters(account);
    if (account.waiters.length === 0) return;
    const delayMs = answered ? REFUSED_RETRY_MS : HOME_RETRY_MS;
    account.retry?.cancel();
    account.retry = this.#options.clock.after(
      delayMs,
      () => this.#ask(account),
    );
  }

  #needOf({ waiters, holder }: Account): number {
    return Math.max(1, waiters.length - holder.spare);
  }

  /** One request to the home; gives whether it was answered in full. */
  async #exchange(account: Account, need: number): Promise<boolean> {
    const { ownership, membership } = this.#options;
    const unit = TEAM_PREFIX + account.team;
    const home = ownership.ownerOf(unit);
    const fence = ownership.fenceOf(unit);
    if (home === undefined || fence === undefined) return false;
    if (!account.holder.obey(fence)) return false;
    const request = account.holder.request(need);
    const answer = await this.#peers.call(home.id, allowanceCall, {
      params: { team: account.team, since: this.#since, ...request },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    if (answer.isErr() || answer.value.type !== "granted") return false;
    if (!account.holder.accept(answer.value)) return false;
    account.homeAnswered = true;
    return true;
  }

  /** Returns what is neither running nor waited for, and what is beyond `keep`. */
  #trim(account: Account, keep: number): void {
    const { holder, waiters } = account;
    const useful = holder.granted - holder.spare + waiters.length;
    const lowered = holder.lowerTo(Math.min(useful, keep));
    const overstated = holder.overstated && !account.asking;
    if (lowered || overstated) this.#exchange(account, 0);
  }

  #scarce(account: Account): boolean {
    return this.#now() < account.scarceUntilMs;
  }

  #scheduleIdleCheck(): void {
    this.#timer = this.#options.clock.after(IDLE_CHECK_MS, () => {
      for (const account of this.#accounts.values()) this.#checkIdle(account);
      this.#scheduleIdleCheck();
    });
  }

  #checkIdle(account: Account): void {
    const idleMs = this.#now() - account.usedAtMs;
    const { holder } = account;
    const idle = idleMs >= IDLE_RETURN_MS && holder.spare > 0;
    if (idle || holder.overstated) this.#trim(account, holder.granted);
  }

  #account(team: string): Account {
    const known = this.#accounts.get(team);
    if (known !== undefined) return known;
    const account: Account = {
      team,
      holder: new AllowanceHolder(),
      waiters: [],
      limited: this.#limits.has(team),
      asking: false,
      keep: Infinity,
      ceiling: Infinity,
      scarceUntilMs: -Infinity,
      usedAtMs: this.#now(),
      homeAnswered: false,
      retry: undefined,
    };
    this.#accounts.set(team, account);
    return account;
  }

  #now(): number {
    return this.#options.clock.monotonic();
  }
}
