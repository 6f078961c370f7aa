/**
 * One team's limit at one instance: the allowance in hand and who waits for it.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock, Timer } from "../clock.ts";
import type { Failure } from "../errors.ts";
import { AllowanceHolder } from "../state/allowance.ts";

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

/** Time after which allowance that was not used is returned, milliseconds. */
const IDLE_RETURN_MS = 10_000;
/** An account that was used so recently keeps its part when others wait, milliseconds. */
const IN_USE_MS = 200;
/** How long after a recall allowance is returned at once, milliseconds. */
const SCARCE_MS = 1_000;
/** Wait before a home that is not ready is asked again, milliseconds. */
const HOME_RETRY_MS = 50;
/** Wait before a home that had nothing left is asked again, milliseconds. */
const REFUSED_RETRY_MS = 250;
/** Least time between two requests for work that waits elsewhere, milliseconds. */
const WANT_SPACING_MS = 20;
/** Allowance in hand at which more is asked for ahead of need. */
const LOW_WATER = 2;

interface Waiter {
  readonly settle: (failure: LimitFailure | undefined) => void;
  readonly timer: Timer;
}

/** A holder that needs so much more; 0 if it only tells what it holds. */
export interface HolderRequest {
  readonly holder: AllowanceHolder;
  readonly need: number;
}

/** What a {@linkcode LimitAccount} works with. */
export interface LimitAccountOptions {
  readonly team: string;
  readonly clock: Clock;
  /** Sends one request of the holder to the home; gives whether it was answered in full. */
  readonly exchange: (request: HolderRequest) => Promise<boolean>;
  /** Told when there is allowance in hand after an answer of the home. */
  readonly granted: () => void;
}

/** Spends one team's allowance at one instance. */
export class LimitAccount {
  readonly team: string;
  readonly holder = new AllowanceHolder();
  /** Whether the team has a limit. */
  limited = false;
  readonly #options: LimitAccountOptions;
  readonly #waiters: Waiter[] = [];
  #asking = false;
  /** Most to keep while others wait. */
  #keep = Infinity;
  #scarceUntilMs = -Infinity;
  /** Most to keep after the limit was lowered. */
  #ceiling = Infinity;
  #usedAtMs: number;
  /** Work that could start here, as last told. */
  #wanted = 0;
  #wantedAtMs = -Infinity;
  #homeAnswered = false;
  #retry: Timer | undefined;

  constructor(options: LimitAccountOptions) {
    this.team = options.team;
    this.#options = options;
    this.#usedAtMs = options.clock.monotonic();
  }

  /** How much work waits for allowance. */
  get waiting(): number {
    return this.#waiters.length;
  }

  stop(): void {
    this.#retry?.cancel();
  }

  /** How much more may start without asking; infinite without a limit. */
  get available(): number {
    return this.limited ? this.holder.spare - this.#waiters.length : Infinity;
  }

  /** Asks for so much because work waits that could start here; not too often. */
  want(count: number): void {
    const nowMs = this.#now();
    this.#wanted = count;
    if (nowMs - this.#wantedAtMs < WANT_SPACING_MS) return;
    this.#wantedAtMs = nowMs;
    void this.ask();
  }

  /** Takes one from the allowance in hand, unless others have waited longer. */
  tryTake(): boolean {
    return this.#waiters.length === 0 && this.#takeInHand();
  }

  /** Waits for one, asking the home. */
  take(timeoutMs: number): ResultAsync<void, LimitFailure> {
    if (this.#waiters.length === 0) this.#homeAnswered = false;
    const outcome = this.#wait(timeoutMs);
    this.ask();
    return ResultAsync.fromSafePromise(outcome).andThen((failure) =>
      failure === undefined ? okAsync(undefined) : errAsync(failure)
    );
  }

  /** Work has ended. */
  give(): void {
    this.holder.give();
    this.#usedAtMs = this.#now();
    if (this.#ceiling < Infinity) this.#trimToCeiling();
    if (this.#scarce()) this.#trim(this.#keep);
    this.serveWaiters();
  }

  /** Others wait: returns what is idle, and for a while whatever is beyond `keep`. */
  recall(keep: number): void {
    this.#keep = keep;
    this.#scarceUntilMs = this.#now() + SCARCE_MS;
    this.#trim(keep);
  }

  /** Lowers the allowance in proportion to a limit that was lowered, before the home says so. */
  lower(from: number, to: number): void {
    const part = Math.floor(this.holder.granted * to / from);
    this.#ceiling = Math.min(this.#ceiling, part);
    this.#trimToCeiling();
  }

  /** Returns allowance that has not been used for a while. */
  checkIdle(): void {
    const idleMs = this.#now() - this.#usedAtMs;
    const idle = idleMs >= IDLE_RETURN_MS && this.holder.spare > 0;
    if (idle || this.holder.overstated) this.#trim(this.holder.granted);
  }

  /** Lets work start that waits, as far as the allowance goes. */
  serveWaiters(): void {
    while (this.#waiters.length > 0 && this.#takeInHand()) {
      const waiter = this.#waiters.shift()!;
      waiter.timer.cancel();
      waiter.settle(undefined);
    }
  }

  /** Asks the home for what the waiters need, or for some ahead of need. */
  async ask(): Promise<void> {
    if (this.#asking || !this.limited) return;
    this.#asking = true;
    const answered = await this.#exchange(this.#need());
    this.#asking = false;
    this.serveWaiters();
    if (this.available > 0) this.#options.granted();
    if (this.#waiters.length === 0) return;
    const delayMs = answered ? REFUSED_RETRY_MS : HOME_RETRY_MS;
    this.#retry?.cancel();
    this.#retry = this.#options.clock.after(delayMs, () => this.ask());
  }

  #need(): number {
    const needed = Math.max(this.#wanted, this.#waiters.length);
    this.#wanted = 0;
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
    return new Promise((settle) => {
      const timer = this.#options.clock.after(timeoutMs, () => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        settle(this.#failure());
      });
      const waiter = { settle, timer };
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
      message: "the team has as much running as its limit allows",
      retryAfterMs: REFUSED_RETRY_MS,
    };
  }

  #takeInHand(): boolean {
    this.#usedAtMs = this.#now();
    if (!this.limited) {
      this.holder.adopt(1);
      return true;
    }
    const taken = this.holder.tryTake();
    const low = taken && this.holder.spare <= LOW_WATER;
    if (low && !this.#scarce()) this.ask();
    return taken;
  }

  #trimToCeiling(): void {
    this.#trim(this.#ceiling);
    if (this.holder.granted <= this.#ceiling) this.#ceiling = Infinity;
  }

  /** Returns what is beyond `keep`, and of an idle account what is neither running nor waited for. */
  #trim(keep: number): void {
    const { holder } = this;
    const useful = this.#inUse()
      ? holder.granted
      : holder.granted - holder.spare + this.#waiters.length;
    const lowered = holder.lowerTo(Math.min(useful, keep));
    const overstated = holder.overstated && !this.#asking;
    if (lowered || overstated) this.#exchange(0);
  }

  /** Whether work of the team started or ended here a moment ago. */
  #inUse(): boolean {
    return this.#now() - this.#usedAtMs < IN_USE_MS;
  }

  #scarce(): boolean {
    return this.#now() < this.#scarceUntilMs;
  }

  #now(): number {
    return this.#options.clock.monotonic();
  }
}
