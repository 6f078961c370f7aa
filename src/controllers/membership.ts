/**
 * Cluster membership of this instance: its registration in the store, its view
 * of the other members, and whether it may make decisions.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { FleetList } from "../ports/list.ts";
import type { Peers } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import {
  type HolderRegistration,
  ReceivedConfirmations,
  VoterPromises,
} from "../state/continuation.ts";
import { electorateOf } from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";
import { AbsenceDetector } from "./absence_detector.ts";
import {
  confirmCall,
  mapChangedNotice,
  releaseCall,
} from "./cluster_protocol.ts";
import { ClusterView } from "./cluster_view.ts";
import { ClusterWatch } from "./cluster_watch.ts";
import { Registration } from "./registration.ts";
import { type Reachability, StoreReachability } from "./store_reachability.ts";
import { defaultTiming, type Timing } from "./timing.ts";

/** Dependencies of a {@linkcode Membership}. */
export interface MembershipOptions {
  readonly self: Instance;
  readonly store: Store;
  readonly list: FleetList;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Random numbers, uniform in [0, 1). */
  readonly random: () => number;
  readonly timing?: Timing;
}

/**
 * Keeps this instance a member of the cluster.
 *
 * An instance may decide while its lease in the store is valid, or, while the
 * store is unreachable, while a majority of the voters confirms it.
 */
export class Membership {
  readonly self: Instance;
  readonly view = new ClusterView();
  readonly timing: Timing;
  readonly #options: MembershipOptions;
  readonly #registration: Registration;
  readonly #watch: ClusterWatch;
  /** Reports an outage early. Used to request and to give confirmations. */
  readonly #reachability: StoreReachability;
  /** Reports an outage late, so that takeovers still work through a slow store. */
  readonly #tolerantReachability: StoreReachability;
  readonly #absenceDetector: AbsenceDetector;
  readonly #receivedConfirmations: ReceivedConfirmations;
  readonly #voterPromises: VoterPromises;
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
    this.#reachability = new StoreReachability(
      timing.renewIntervalMs + timing.confirmIntervalMs,
    );
    this.#tolerantReachability = new StoreReachability(timing.leaseTtlMs);
    this.#absenceDetector = new AbsenceDetector(timing);
    this.#receivedConfirmations = new ReceivedConfirmations(timing);
    this.#voterPromises = new VoterPromises(timing);
    this.#registerHandlers();
  }

  /** Registers this instance and starts to follow the other members. */
  start(): void {
    this.#running = true;
    this.#leaving = false;
    this.#scheduleRepeating("renew", () => this.#renew());
    this.#scheduleRepeating("refresh", () => this.#refresh());
    this.#scheduleRepeating("confirm", () => this.#requestConfirmations());
    this.#scheduleRepeating("list", () => this.#readFleetList());
  }

  /** Stops at once without deregistering: as after a crash, but with the timers cancelled. */
  stop(): void {
    this.#running = false;
    for (const timer of this.#timers.values()) timer.cancel();
    this.#timers.clear();
    this.#watch.close();
  }

  /** Whether the membership was started and has neither stopped nor left. */
  get running(): boolean {
    return this.#running;
  }

  /** Whether this instance may make decisions now. Checked before each start of work. */
  mayDecide(): boolean {
    if (!this.#running) return false;
    const { map } = this.view;
    const { id } = this.self;
    if (map.members.get(id)?.standing === "lost") return false;
    const nowMs = this.#options.clock.monotonic();
    if (this.#registration.lease.isValid(nowMs)) return true;
    const at = { self: id, nowMs };
    return this.#receivedConfirmations.hasQuorum(electorateOf(map), at);
  }

  /** Whether the member key is in the store, judged by the lease of this instance. */
  registered(): boolean {
    return this.#registration.lease.isValid(this.#options.clock.monotonic());
  }

  /** Instances that accept messages, including this one. */
  members(): readonly Instance[] {
    return this.view.knownInstances();
  }

  /** Whether this instance reaches the store, and since when. */
  reachability(): Reachability {
    return this.#reachability.stateAt(this.#options.clock.monotonic());
  }

  /**
   * Whether the store has been reachable for at least one lease duration. Before
   * that, a missing member key does not prove that its owner is dead: the owner
   * may not have had the time to register again.
   */
  storeUpForLease(): boolean {
    return this.#isUpForLease(this.#tolerantReachability);
  }

  /** Members that are gone according to the platform's list. */
  gone(): ReadonlySet<string> {
    return this.#absenceDetector.gone();
  }

  /**
   * Releases a lease holder as this voter. Returns milliseconds to wait before
   * a retry, 0 if released.
   */
  release(holder: HolderRegistration): number {
    const nowMs = this.#options.clock.monotonic();
    const release = this.#voterPromises.release(holder, nowMs);
    return release.type === "released" ? 0 : release.waitMs;
  }

  /** Calls `listener` after each change of the members or of the ownership map. */
  onChange(listener: () => void): void {
    this.view.onChange(listener);
  }

  /** Reads the ownership map from the store now. Returns whether the store answered. */
  async readMap(): Promise<boolean> {
    const outcome = await this.#watch.readMap();
    this.#recordStoreOutcome(outcome.isOk());
    return outcome.isOk();
  }

  /** Removes the member key after every confirmation given to other members has expired. */
  async leave(): Promise<void> {
    this.#leaving = true;
    const nowMs = this.#options.clock.monotonic();
    const waitMs = this.#voterPromises.outstandingMs(nowMs);
    if (waitMs > 0) {
      await new Promise<void>((done) =>
        this.#options.clock.after(waitMs, () => done())
      );
    }
    this.stop();
    await this.#registration.revoke();
  }

  #registerHandlers(): void {
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
      ({ epoch }) => this.#onMapChanged(epoch),
    );
  }

  /**
   * Confirms a lease holder; returns for how many milliseconds, 0 if refused. A
   * voter that has reached the store for a whole lease duration refuses, because
   * then only the holder is cut off and the store itself is up.
   */
  #confirm(holder: HolderRegistration, nowMs: number): number {
    const markedLost =
      this.view.map.members.get(holder.id)?.standing === "lost";
    const storeReached = this.#isUpForLease(this.#reachability);
    if (markedLost || this.#leaving || storeReached) return 0;
    return this.#voterPromises.confirm(holder, nowMs);
  }

  #isUpForLease(reachability: StoreReachability): boolean {
    const nowMs = this.#options.clock.monotonic();
    return reachability.upForMs(nowMs) >= this.timing.leaseTtlMs;
  }

  #onMapChanged(epoch: number): void {
    if (epoch <= this.view.map.epoch) return;
    this.#schedule("map", this.timing.claimDelayMs, () => {
      if (epoch > this.view.map.epoch) this.readMap();
    });
  }

  async #renew(): Promise<number> {
    const { clock } = this.#options;
    const sentAtMs = clock.monotonic();
    const outcome = await this.#registration.renewOrRegister();
    this.#recordStoreOutcome(outcome.isOk());
    if (outcome.isErr()) return this.timing.retryDelayMs;
    switch (outcome.value.type) {
      case "held": {
        const elapsedMs = clock.monotonic() - sentAtMs;
        return Math.max(0, this.timing.renewIntervalMs - elapsedMs);
      }
      case "again":
        await this.readMap();
        return this.timing.claimDelayMs;
    }
  }

  /**
   * Reads the members and the map when due. Runs apart from renewals, so that
   * slow reads do not delay them.
   */
  async #refresh(): Promise<number> {
    if (this.reachability().type === "away") return this.timing.claimDelayMs;
    const refreshed = await this.#watch.refresh();
    if (refreshed.isErr()) this.#recordStoreOutcome(false);
    return this.#watch.watching
      ? this.timing.renewIntervalMs
      : this.timing.claimDelayMs;
  }

  #recordStoreOutcome(answered: boolean): void {
    const nowMs = this.#options.clock.monotonic();
    for (
      const reachability of [this.#reachability, this.#tolerantReachability]
    ) {
      if (answered) reachability.recordAnswer(nowMs);
      else reachability.recordFailure(nowMs);
    }
  }

  async #requestConfirmations(): Promise<number> {
    const { clock } = this.#options;
    const leaseRemainingMs = this.#registration.lease.remainingMs(
      clock.monotonic(),
    );
    const storeAway = this.reachability().type !== "up";
    const isMember = this.view.map.members.has(this.self.id);
    if (
      isMember && (storeAway || leaseRemainingMs < this.timing.confirmLeadMs)
    ) {
      const otherIds = [...this.view.map.members.keys()]
        .filter((id) => id !== this.self.id);
      await Promise.all(otherIds.map((id) => this.#requestConfirmation(id)));
    }
    return this.timing.confirmIntervalMs;
  }

  async #requestConfirmation(peer: string): Promise<void> {
    const { clock, peers } = this.#options;
    const sentAtMs = clock.monotonic();
    const answer = await peers.call(peer, confirmCall, {
      params: { registration: this.#registration.count },
      timeoutMs: this.timing.peerTimeoutMs,
    });
    if (answer.isErr() || answer.value.forMs <= 0) return;
    this.#receivedConfirmations.recordConfirmation(peer, {
      sentAtMs,
      forMs: answer.value.forMs,
    });
  }

  async #readFleetList(): Promise<number> {
    const listing = await this.#options.list.read();
    if (listing.isOk()) {
      const nowMs = this.#options.clock.monotonic();
      const { registered } = this.view;
      this.#absenceDetector.observe(listing.value, this.members(), {
        nowMs,
        registered,
      });
    }
    return this.timing.listIntervalMs;
  }

  /**
   * Runs `action` now and repeats it after the delay in milliseconds that it
   * returns, with jitter.
   */
  #scheduleRepeating(name: string, action: () => Promise<number>): void {
    this.#schedule(name, 0, async () => {
      const waitMs = await action();
      if (!this.#running) return;
      this.#schedule(name, waitMs, () => this.#scheduleRepeating(name, action));
    });
  }

  #schedule(name: string, delayMs: number, action: () => void): void {
    this.#timers.get(name)?.cancel();
    const jitter = 0.8 + 0.4 * this.#options.random();
    const timer = this.#options.clock.after(delayMs * jitter, action);
    this.#timers.set(name, timer);
  }
}
