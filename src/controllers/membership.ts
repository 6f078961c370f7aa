/**
 * This instance among the others: its registration, who else is there, and
 * whether it may decide.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { FleetList } from "../ports/list.ts";
import type { Peers } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import {
  ConfirmationsInHand,
  PromisesGiven,
  type Registered,
} from "../state/continuation.ts";
import { electorateOf } from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";
import { Absence } from "./absence.ts";
import {
  confirmCall,
  mapChangedNotice,
  releaseCall,
} from "./cluster_protocol.ts";
import { ClusterView } from "./cluster_view.ts";
import { ClusterWatch } from "./cluster_watch.ts";
import { Registration } from "./registration.ts";
import { type Reach, StoreReach } from "./store_reach.ts";
import { defaultTiming, type Timing } from "./timing.ts";

/** What a {@linkcode Membership} works with. */
export interface MembershipOptions {
  readonly self: Instance;
  readonly store: Store;
  readonly list: FleetList;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly timing?: Timing;
}

/** Keeps this instance a member of the cluster. */
export class Membership {
  readonly self: Instance;
  readonly view = new ClusterView();
  readonly timing: Timing;
  readonly #options: MembershipOptions;
  readonly #registration: Registration;
  readonly #watch: ClusterWatch;
  /** Quick to say away: to ask for confirmations and to give them. */
  readonly #reach: StoreReach;
  /** Slow to say away: to take over through a store that is slow. */
  readonly #steadyReach: StoreReach;
  readonly #absence: Absence;
  readonly #confirmations: ConfirmationsInHand;
  readonly #promises: PromisesGiven;
  readonly #timers = new Map<string, Timer>();
  #running = false;
  #leaving = false;

  constructor(options: MembershipOptions) {
    const timing = options.timing ?? defaultTiming;
    const { view } = this;
    this.#options = options;
    this.self = options.self;
    this.timing = timing;
    this.#registration = new Registration({
      ...options,
      timing,
      mapRevision: () => view.mapRevision,
    });
    this.#watch = new ClusterWatch({ ...options, timing, view });
    this.#reach = new StoreReach(timing.renewEveryMs + timing.confirmEveryMs);
    this.#steadyReach = new StoreReach(timing.leaseTtlMs);
    this.#absence = new Absence(timing);
    this.#confirmations = new ConfirmationsInHand(timing);
    this.#promises = new PromisesGiven(timing);
    this.#serve();
  }

  /** Registers and begins to follow the others. */
  start(): void {
    this.#running = true;
    this.#leaving = false;
    this.#repeat("renew", () => this.#renew());
    this.#repeat("refresh", () => this.#refresh());
    this.#repeat("confirm", () => this.#askConfirmations());
    this.#repeat("list", () => this.#readList());
  }

  /** Stops at once, as a crash would, but for the timers. */
  stop(): void {
    this.#running = false;
    for (const timer of this.#timers.values()) timer.cancel();
    this.#timers.clear();
    this.#watch.close();
  }

  /** Whether it has been started and neither stopped nor left. */
  get running(): boolean {
    return this.#running;
  }

  /** Whether this instance may decide right now; asked before each start of work. */
  mayDecide(): boolean {
    if (!this.#running) return false;
    const { map } = this.view;
    const { id } = this.self;
    if (map.members.get(id)?.standing === "lost") return false;
    const nowMs = this.#options.clock.monotonic();
    if (this.#registration.lease.valid(nowMs)) return true;
    const at = { self: id, nowMs };
    return this.#confirmations.sufficient(electorateOf(map), at);
  }

  /** Whether the member key is in the store as far as this instance knows. */
  registered(): boolean {
    return this.#registration.lease.valid(this.#options.clock.monotonic());
  }

  /** Instances that may be talked to, this one included. */
  members(): readonly Instance[] {
    return this.view.known();
  }

  /** Whether the store answers this instance, and since when. */
  reach(): Reach {
    return this.#reach.at(this.#options.clock.monotonic());
  }

  /** Whether the store has answered for a whole lease, so that keys that are gone mean something. */
  reachIsSettled(): boolean {
    return this.#upForLease(this.#steadyReach);
  }

  /** Members that the platform's list says are gone. */
  gone(): ReadonlySet<string> {
    return this.#absence.gone();
  }

  /** Releases a holder on behalf of this instance; gives the wait, 0 if released. */
  release(holder: Registered): number {
    const nowMs = this.#options.clock.monotonic();
    const release = this.#promises.release(holder, nowMs);
    return release.type === "released" ? 0 : release.waitMs;
  }

  /** Calls `listener` after each change of the members or of the map. */
  onChange(listener: () => void): void {
    this.view.onChange(listener);
  }

  /** Reads the map from the store now. */
  async readMap(): Promise<boolean> {
    const outcome = await this.#watch.readMap();
    this.#noteOutcome(outcome.isOk());
    return outcome.isOk();
  }

  /** Removes the member key, once every promise to others has ended. */
  async leave(): Promise<void> {
    this.#leaving = true;
    const nowMs = this.#options.clock.monotonic();
    const waitMs = this.#promises.outstandingMs(nowMs);
    if (waitMs > 0) {
      await new Promise<void>((done) =>
        this.#options.clock.after(waitMs, () => done())
      );
    }
    this.stop();
    await this.#registration.end();
  }

  #serve(): void {
    const { peers, clock } = this.#options;
    peers.serve(confirmCall, ({ registration }, from) => {
      const holder = { id: from, registration };
      return { forMs: this.#confirm(holder, clock.monotonic()) };
    });
    peers.serve(releaseCall, ({ holder, registration }) => {
      return { waitMs: this.release({ id: holder, registration }) };
    });
    peers.onNotification(
      mapChangedNotice,
      ({ epoch }) => this.#mapChanged(epoch),
    );
  }

  /** Refused by whoever has reached the store for a whole lease: the holder is cut off, not the store away. */
  #confirm(holder: Registered, nowMs: number): number {
    const lost = this.view.map.members.get(holder.id)?.standing === "lost";
    const reached = this.#upForLease(this.#reach);
    if (lost || this.#leaving || reached) return 0;
    return this.#promises.confirm(holder, nowMs);
  }

  #upForLease(reach: StoreReach): boolean {
    const nowMs = this.#options.clock.monotonic();
    return reach.upForMs(nowMs) >= this.timing.leaseTtlMs;
  }

  #mapChanged(epoch: number): void {
    if (epoch <= this.view.map.epoch) return;
    this.#schedule("map", this.timing.claimDelayMs, () => {
      if (epoch > this.view.map.epoch) this.readMap();
    });
  }

  async #renew(): Promise<number> {
    const { clock } = this.#options;
    const sentAtMs = clock.monotonic();
    const round = await this.#registration.round();
    this.#noteOutcome(round.isOk());
    if (round.isErr()) return this.timing.retryMs;
    switch (round.value.type) {
      case "held": {
        const tookMs = clock.monotonic() - sentAtMs;
        return Math.max(0, this.timing.renewEveryMs - tookMs);
      }
      case "again":
        await this.readMap();
        return this.timing.claimDelayMs;
    }
  }

  /** Reads what is due, apart from the renewals, which a slow store must not hold up. */
  async #refresh(): Promise<number> {
    if (this.reach().type === "away") return this.timing.claimDelayMs;
    const refreshed = await this.#watch.refresh();
    if (refreshed.isErr()) this.#noteOutcome(false);
    return this.#watch.watching
      ? this.timing.renewEveryMs
      : this.timing.claimDelayMs;
  }

  #noteOutcome(answered: boolean): void {
    const nowMs = this.#options.clock.monotonic();
    for (const reach of [this.#reach, this.#steadyReach]) {
      if (answered) reach.answered(nowMs);
      else reach.failed(nowMs);
    }
  }

  async #askConfirmations(): Promise<number> {
    const { clock } = this.#options;
    const left = this.#registration.lease.remainingMs(clock.monotonic());
    const away = this.reach().type !== "up";
    const member = this.view.map.members.has(this.self.id);
    if (member && (away || left < this.timing.confirmLeadMs)) {
      const others = [...this.view.map.members.keys()]
        .filter((id) => id !== this.self.id);
      await Promise.all(others.map((id) => this.#askConfirmation(id)));
    }
    return this.timing.confirmEveryMs;
  }

  async #askConfirmation(peer: string): Promise<void> {
    const { clock, peers } = this.#options;
    const sentAtMs = clock.monotonic();
    const answer = await peers.call(peer, confirmCall, {
      params: { registration: this.#registration.number },
      timeoutMs: this.timing.peerTimeoutMs,
    });
    if (answer.isErr() || answer.value.forMs <= 0) return;
    this.#confirmations.confirmed(peer, {
      sentAtMs,
      forMs: answer.value.forMs,
    });
  }

  async #readList(): Promise<number> {
    const listing = await this.#options.list.read();
    if (listing.isOk()) {
      const nowMs = this.#options.clock.monotonic();
      const { registered } = this.view;
      this.#absence.read(listing.value, this.members(), { nowMs, registered });
    }
    return this.timing.listEveryMs;
  }

  /** Runs `action` now and again after the milliseconds that it gives, with jitter. */
  #repeat(name: string, action: () => Promise<number>): void {
    this.#schedule(name, 0, async () => {
      const waitMs = await action();
      if (!this.#running) return;
      this.#schedule(name, waitMs, () => this.#repeat(name, action));
    });
  }

  #schedule(name: string, delayMs: number, action: () => void): void {
    this.#timers.get(name)?.cancel();
    const jitter = 0.8 + 0.4 * this.#options.random();
    const timer = this.#options.clock.after(delayMs * jitter, action);
    this.#timers.set(name, timer);
  }
}
