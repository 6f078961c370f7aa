/**
 * Which instance owns which unit according to the ownership map in the store.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import {
  assign,
  excessUnits,
  handOver,
  ownedBy,
  type OwnershipMap,
} from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";
import { epochCall } from "./cluster_protocol.ts";
import type { Membership } from "./membership.ts";
import { MapWriter } from "./map_writer.ts";
import { Takeover } from "./takeover.ts";

/** Dependencies of an {@linkcode Ownership}. */
export interface OwnershipOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Random numbers, uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Reconciles the ownership map with the current members: assigns units without
 * an owner, takes over the units of lost members, and hands over excess units.
 */
export class Ownership {
  readonly #options: OwnershipOptions;
  readonly #membership: Membership;
  readonly #takeover: Takeover;
  readonly #writer: MapWriter;
  readonly #listeners: (() => void)[] = [];
  /** Units that this instance no longer decides for because it is handing them over. */
  readonly #releasedUnits = new Set<string>();
  /** Map revision that the handover write is conditional on. */
  #releasedAtRevision = 0;
  readonly #retiredUnits = new Set<string>();
  #requiredUnits: readonly string[] = [];
  #timer: Timer | undefined;
  #reconciling = false;
  #running = false;
  #ownedCache:
    | { readonly map: OwnershipMap; readonly units: ReadonlySet<string> }
    | undefined;

  constructor(options: OwnershipOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.#takeover = new Takeover(options);
    this.#writer = new MapWriter(options);
    this.#membership.onChange(() => this.#onViewChange());
    options.peers.serve(epochCall, ({ epoch }) => this.#epochResponse(epoch));
  }

  /** Starts to claim units without an owner and to hand over excess units. */
  start(): void {
    this.#running = true;
    this.#schedule(this.#delayMs());
  }

  stop(): void {
    this.#running = false;
    this.#timer?.cancel();
  }

  /**
   * Sets the units that must have an owner. Units already in the map stay there
   * until they are retired.
   */
  setUnits(units: readonly string[]): void {
    this.#requiredUnits = units;
    for (const unit of units) this.#retiredUnits.delete(unit);
    if (this.#running && this.#isStale()) this.#schedule(this.#delayMs());
  }

  /** Removes units that no longer exist from the map, if this instance owns them. */
  retire(units: readonly string[]): void {
    for (const unit of units) this.#retiredUnits.add(unit);
    if (this.#running) this.#schedule(this.#delayMs());
  }

  /** The ownership map as last read. */
  map(): OwnershipMap {
    return this.#membership.view.map;
  }

  /** Owner of a unit; `undefined` while the unit has no owner. */
  ownerOf(unit: string): Instance | undefined {
    const map = this.map();
    const owner = map.members.get(map.units.get(unit)?.owner ?? "");
    return owner === undefined || owner.standing === "lost"
      ? undefined
      : owner.instance;
  }

  /** Fencing token of a unit; `undefined` if the unit is not in the map. */
  fenceOf(unit: string): number | undefined {
    return this.map().units.get(unit)?.fence;
  }

  /**
   * Fencing token of a unit's previous owner, 0 if it had none; `undefined` if
   * the unit is not in the map.
   */
  previousFenceOf(unit: string): number | undefined {
    return this.map().units.get(unit)?.previousFence;
  }

  /** Units with the prefix that this instance owns and is not handing over. */
  owned(prefix: string): readonly string[] {
    return [...this.#ownedUnits()].filter((unit) =>
      unit.startsWith(prefix) && !this.#releasedUnits.has(unit)
    );
  }

  /** Whether this instance may make decisions for a unit now. Checked before each start of work. */
  mayDecide(unit: string): boolean {
    return this.#ownedUnits().has(unit) && !this.#releasedUnits.has(unit) &&
      this.#membership.mayDecide();
  }

  /** Calls `listener` after each change of the ownership map or of the members. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Stops deciding, hands over all units, and ends the membership. */
  async leave(): Promise<void> {
    this.stop();
    for (const unit of this.#ownedUnits()) this.#releasedUnits.add(unit);
    this.#releasedAtRevision = Infinity;
    this.#notifyListeners();
    await this.#handOverAll();
    await this.#membership.leave();
  }

  async #handOverAll(): Promise<void> {
    const { id } = this.#membership.self;
    const maxAttempts = 5;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const next = handOver(this.map(), {
        self: id,
        leaving: true,
        retired: [...this.#retiredUnits],
      });
      if (next === this.map()) return;
      await this.#writer.write(next);
      if (!this.map().members.has(id)) return;
    }
  }

  #ownedUnits(): ReadonlySet<string> {
    const map = this.map();
    if (this.#ownedCache?.map !== map) {
      const { id } = this.#membership.self;
      const lost = map.members.get(id)?.standing === "lost";
      this.#ownedCache = { map, units: new Set(lost ? [] : ownedBy(map, id)) };
    }
    return this.#ownedCache.units;
  }

  #onViewChange(): void {
    const { mapRevision } = this.#membership.view;
    if (mapRevision > this.#releasedAtRevision) this.#releasedUnits.clear();
    this.#notifyListeners();
    if (this.#running && this.#isStale()) this.#schedule(this.#delayMs());
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Whether the map is out of date and some member must change it. */
  #isStale(): boolean {
    const { view } = this.#membership;
    const map = view.map;
    const hasNewMember = [...view.registered.keys()].some((id) =>
      (map.members.get(id)?.standing ?? "lost") === "lost"
    );
    const hasNonVoter = [...map.members.values()].some((member) =>
      member.standing !== "voter"
    );
    const hasUnownedUnit = this.#requiredUnits.some((unit) =>
      this.ownerOf(unit) === undefined
    );
    const hasRetiredUnit = [...this.#retiredUnits].some((unit) =>
      this.#ownedUnits().has(unit)
    );
    return hasNewMember || hasNonVoter || hasUnownedUnit || hasRetiredUnit ||
      this.#takeover.suspects().length > 0 ||
      excessUnits(map, this.#membership.self.id).size > 0;
  }

  /**
   * Delay in milliseconds, staggered by rank, so that a member sees the write
   * of the previous rank before its own is due.
   */
  #delayMs(): number {
    const { claimDelayMs } = this.#membership.timing;
    const ids = [...this.#membership.view.registered.keys()].sort();
    const rank = Math.max(0, ids.indexOf(this.#membership.self.id));
    return claimDelayMs * (1 + rank + 0.5 * this.#options.random());
  }

  #schedule(delayMs: number): void {
    this.#timer?.cancel();
    this.#timer = this.#options.clock.after(delayMs, () => this.#reconcile());
  }

  async #reconcile(): Promise<void> {
    if (!this.#running) return;
    if (!this.#reconciling && this.#membership.registered()) {
      this.#reconciling = true;
      await this.#assign();
      await this.#handOverExcess();
      this.#reconciling = false;
    }
    if (!this.#running) return;
    const { reconcileIntervalMs } = this.#membership.timing;
    if (this.#isStale()) this.#schedule(reconcileIntervalMs + this.#delayMs());
  }

  async #assign(): Promise<void> {
    const { view } = this.#membership;
    const before = view.map;
    const [claims, votersKnowJoining] = await Promise.all([
      this.#takeover.claims(),
      this.#takeover.votersKnowJoining(),
    ]);
    if (view.map !== before) return;
    const next = assign(view.map, {
      registered: view.registered,
      lost: new Set(claims.map((claim) => claim.holder)),
      gone: this.#membership.gone(),
      votersKnowJoining,
      units: this.#requiredUnits.filter((unit) =>
        !this.#retiredUnits.has(unit)
      ),
    });
    if (next === before) return;
    await this.#writer.write(
      next,
      claims.flatMap((claim) => claim.conditions),
    );
  }

  /** Stops deciding for excess and retired units before it writes their handover. */
  async #handOverExcess(): Promise<void> {
    const { id } = this.#membership.self;
    const before = this.map();
    const retired = [...this.#retiredUnits].filter((unit) =>
      this.#ownedUnits().has(unit)
    );
    const next = handOver(before, { self: id, leaving: false, retired });
    if (next === before) return;
    for (const unit of this.#ownedUnits()) {
      if (next.units.get(unit)?.owner !== id) this.#releasedUnits.add(unit);
    }
    this.#releasedAtRevision = this.#membership.view.mapRevision;
    this.#notifyListeners();
    const outcome = await this.#writer.write(next);
    if (outcome === "notSent") this.#cancelHandover();
  }

  #cancelHandover(): void {
    this.#releasedUnits.clear();
    this.#notifyListeners();
  }

  async #epochResponse(epoch: number): Promise<{ readonly epoch: number }> {
    if (this.map().epoch < epoch) await this.#membership.readMap();
    return { epoch: this.map().epoch };
  }
}
