/**
 * One team's allowance at one instance and the work that waits for it.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../clock.ts";
import type { Failure } from "../errors.ts";
import { AllowanceHolder } from "../state/allowance.ts";

/** Reasons why work may not start. */
export type LimitFailure =
  /** The team's running work has reached its limit. */
  | (Failure & {
    readonly type: "overLimit";
    readonly team: string;
    readonly retryAfterMs: number;
  })
  /** The home of the team's limit does not answer. */
  | (Failure & { readonly type: "homeAway"; readonly team: string });

/** Time without use after which free allowance is returned to the home, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;
/** An account used within this time keeps its allowance up to the recall limit, in milliseconds. */
const RECENT_USE_MS = 200;
/** Time after a recall during which excess allowance is returned immediately, in milliseconds. */
const SCARCITY_MS = 1_000;
/** Delay before a retry if the home is unreachable or not ready, in milliseconds. */
const HOME_RETRY_DELAY_MS = 50;
/** Delay before a retry if the home had no free allowance, in milliseconds. */
const REFUSED_RETRY_DELAY_MS = 250;
/**
 * Minimum interval between requests on behalf of work that waits outside of
 * this account, in milliseconds.
 */
const MIN_REQUEST_INTERVAL_MS = 20;
/** Free allowance at or below which more is requested in advance. */
const LOW_WATERMARK = 2;

interface Waiter {
  readonly resolve: (failure: LimitFailure | undefined) => void;
  readonly timer: Timer;
}

/**
 * A message to the home: `need` is the additional allowance wanted, 0 if the
 * message only reports.
 */
export interface AllowanceExchange {
  readonly holder: AllowanceHolder;
  readonly need: number;
}

/** Dependencies of a {@linkcode LimitAccount}. */
export interface LimitAccountOptions {
  readonly team: string;
  readonly clock: Clock;
  /** Sends one request to the home. Returns whether a grant was received and accepted. */
  readonly exchange: (request: AllowanceExchange) => Promise<boolean>;
  /** Called when allowance is free after an answer of the home. */
  readonly onGranted: () => void;
}

/** Manages one team's allowance at one instance. */
export class LimitAccount {
  readonly team: string;
  readonly holder = new AllowanceHolder();
  /** Whether the team has a limit. */
  limited = false;
  readonly #options: LimitAccountOptions;
  readonly #waiters: Waiter[] = [];
  #requestInFlight = false;
  /** Maximum allowance to keep while other holders wait. */
  #recallLimit = Infinity;
  #scarceUntilMs = -Infinity;
  /** Maximum allowance to keep after the limit was lowered. */
  #cap = Infinity;
  #lastUsedMs: number;
  /** Work outside of this account that could start here, as last requested. */
  #requested = 0;
  #requestedAtMs = -Infinity;
  #homeAnswered = false;
  #retry: Timer | undefined;

  constructor(options: LimitAccountOptions) {
    this.team = options.team;
    this.#options = options;
    this.#lastUsedMs = options.clock.monotonic();
  }

  /** Number of callers that wait for allowance. */
  get waiting(): number {
    return this.#waiters.length;
  }

  stop(): void {
    this.#retry?.cancel();
  }

  /** Allowance that can be acquired without waiting; infinite without a limit. */
  get available(): number {
    return this.limited ? this.holder.spare - this.#waiters.length : Infinity;
  }

  /**
   * Requests allowance for `count` pieces of work that wait elsewhere. The
   * request rate is limited.
   */
  request(count: number): void {
    const nowMs = this.#nowMs();
    this.#requested = count;
    if (nowMs - this.#requestedAtMs < MIN_REQUEST_INTERVAL_MS) return;
    this.#requestedAtMs = nowMs;
    void this.sendRequest();
  }

  /** Acquires one unit of the local allowance, unless earlier callers still wait. */
  tryAcquire(): boolean {
    return this.#waiters.length === 0 && this.#acquireLocal();
  }

  /** Requests allowance from the home and waits up to `timeoutMs` for one unit. */
  acquire(timeoutMs: number): ResultAsync<void, LimitFailure> {
    if (this.#waiters.length === 0) this.#homeAnswered = false;
    const outcome = this.#wait(timeoutMs);
    this.sendRequest();
    return ResultAsync.fromSafePromise(outcome).andThen((failure) =>
      failure === undefined ? okAsync(undefined) : errAsync(failure)
    );
  }

  /** Returns one unit after a piece of work has ended. */
  release(): void {
    this.holder.release();
    this.#lastUsedMs = this.#nowMs();
    if (this.#cap < Infinity) this.#trimToCap();
    if (this.#isScarce()) this.#trim(this.#recallLimit);
    this.serveWaiters();
  }

  /**
   * Returns idle allowance because other holders wait, and any allowance beyond
   * `keep` for the next {@linkcode SCARCITY_MS}.
   */
  recall(keep: number): void {
    this.#recallLimit = keep;
    this.#scarceUntilMs = this.#nowMs() + SCARCITY_MS;
    this.#trim(keep);
  }

  /**
   * Lowers the allowance in proportion to a lowered limit, without waiting for
   * a recall by the home.
   */
  lowerInProportion(from: number, to: number): void {
    const part = Math.floor(this.holder.granted * to / from);
    this.#cap = Math.min(this.#cap, part);
    this.#trimToCap();
  }

  /** Returns free allowance that has not been used for {@linkcode IDLE_TIMEOUT_MS}. */
  checkIdle(): void {
    const idleMs = this.#nowMs() - this.#lastUsedMs;
    const isIdle = idleMs >= IDLE_TIMEOUT_MS && this.holder.spare > 0;
    if (isIdle || this.holder.mayBeOverstated) this.#trim(this.holder.granted);
  }

  /** Serves waiting callers in order while allowance is free. */
  serveWaiters(): void {
    while (this.#waiters.length > 0 && this.#acquireLocal()) {
      const waiter = this.#waiters.shift()!;
      waiter.timer.cancel();
      waiter.resolve(undefined);
    }
  }

  /** Requests from the home what waiting work needs, or at least one unit in advance. */
  async sendRequest(): Promise<void> {
    if (this.#requestInFlight || !this.limited) return;
    this.#requestInFlight = true;
    const answered = await this.#exchange(this.#need());
    this.#requestInFlight = false;
    this.serveWaiters();
    if (this.available > 0) this.#options.onGranted();
    if (this.#waiters.length === 0) return;
    const delayMs = answered ? REFUSED_RETRY_DELAY_MS : HOME_RETRY_DELAY_MS;
    this.#retry?.cancel();
    this.#retry = this.#options.clock.after(delayMs, () => this.sendRequest());
  }

  #need(): number {
    const needed = Math.max(this.#requested, this.#waiters.length);
    this.#requested = 0;
    return Math.max(1, needed - this.holder.spare);
  }

  async #exchange(need: number): Promise<boolean> {
    const answered = await this.#options.exchange({
      holder: this.holder,
      need,
    });
    if (answered) this.#homeAnswered = true;
    return answered;
  }

  #wait(timeoutMs: number): Promise<LimitFailure | undefined> {
    return new Promise((resolve) => {
      const timer = this.#options.clock.after(timeoutMs, () => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(this.#failure());
      });
      const waiter = { resolve, timer };
      this.#waiters.push(waiter);
    });
  }

  #failure(): LimitFailure {
    const { team } = this;
    if (!this.#homeAnswered) {
      const message = "the home of the team's limit does not answer";
      return { type: "homeAway", team, message };
    }
    return {
      type: "overLimit",
      team,
      message: "the team's running work has reached its limit",
      retryAfterMs: REFUSED_RETRY_DELAY_MS,
    };
  }

  #acquireLocal(): boolean {
    this.#lastUsedMs = this.#nowMs();
    if (!this.limited) {
      this.holder.adopt(1);
      return true;
    }
    const taken = this.holder.tryAcquire();
    const low = taken && this.holder.spare <= LOW_WATERMARK;
    if (low && !this.#isScarce()) this.sendRequest();
    return taken;
  }

  #trimToCap(): void {
    this.#trim(this.#cap);
    if (this.holder.granted <= this.#cap) this.#cap = Infinity;
  }

  /**
   * Returns allowance beyond `keep`; an idle account also returns what neither
   * running nor waiting work needs.
   */
  #trim(keep: number): void {
    const { holder } = this;
    const usefulAllowance = this.#isInUse()
      ? holder.granted
      : holder.granted - holder.spare + this.#waiters.length;
    const lowered = holder.lowerTo(Math.min(usefulAllowance, keep));
    const overstated = holder.mayBeOverstated && !this.#requestInFlight;
    if (lowered || overstated) this.#exchange(0);
  }

  /** Whether work of the team started or ended here within {@linkcode RECENT_USE_MS}. */
  #isInUse(): boolean {
    return this.#nowMs() - this.#lastUsedMs < RECENT_USE_MS;
  }

  #isScarce(): boolean {
    return this.#nowMs() < this.#scarceUntilMs;
  }

  #nowMs(): number {
    return this.#options.clock.monotonic();
  }
}
