/**
 * Which instance owns which unit, as the map in the store says.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import type { Store } from "../ports/store.ts";
import {
  assign,
  excess,
  handOver,
  ownedBy,
  type OwnershipMap,
} from "../state/ownership_map.ts";
import type { Instance } from "../types.ts";
import { epochCall } from "./cluster_protocol.ts";
import type { Membership } from "./membership.ts";
import { MapWriter } from "./map_writer.ts";
import { Takeover } from "./takeover.ts";

/** What an {@linkcode Ownership} works with. */
export interface OwnershipOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Keeps the ownership map in step with the members. */
export class Ownership {
  readonly #options: OwnershipOptions;
  readonly #membership: Membership;
  readonly #takeover: Takeover;
  readonly #writer: MapWriter;
  readonly #listeners: (() => void)[] = [];
  /** Units that this instance has stopped deciding for, to give them away. */
  readonly #released = new Set<string>();
  /** Revision of the map on which the write that gives them away depends. */
  #releasedAtRevision = 0;
  readonly #retired = new Set<string>();
  #units: readonly string[] = [];
  #timer: Timer | undefined;
  #busy = false;
  #running = false;
  #mine:
    | { readonly map: OwnershipMap; readonly units: ReadonlySet<string> }
    | undefined;

  constructor(options: OwnershipOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.#takeover = new Takeover(options);
    this.#writer = new MapWriter(options);
    this.#membership.onChange(() => this.#viewChanged());
    options.peers.serve(epochCall, ({ epoch }) => this.#answerEpoch(epoch));
  }

  /** Begins to claim units without an owner and to hand over those in excess. */
  start(): void {
    this.#running = true;
    this.#scheduleIn(this.#delayMs());
  }

  stop(): void {
    this.#running = false;
    this.#timer?.cancel();
  }

  /** Names the units that should have an owner. Units already in the map stay until they are retired. */
  setUnits(units: readonly string[]): void {
    this.#units = units;
    for (const unit of units) this.#retired.delete(unit);
    if (this.#running && this.#workLeft()) this.#scheduleIn(this.#delayMs());
  }

  /** Takes units that no longer exist out of the map, as far as this instance owns them. */
  retire(units: readonly string[]): void {
    for (const unit of units) this.#retired.add(unit);
    if (this.#running) this.#scheduleIn(this.#delayMs());
  }

  /** The map as last read. */
  map(): OwnershipMap {
    return this.#membership.view.map;
  }

  /** Owner of a unit; `undefined` while nobody owns it. */
  ownerOf(unit: string): Instance | undefined {
    const map = this.map();
    const owner = map.members.get(map.units.get(unit)?.owner ?? "");
    return owner === undefined || owner.standing === "lost"
      ? undefined
      : owner.instance;
  }

  /** Fencing number of a unit; `undefined` if the map has no such unit. */
  fenceOf(unit: string): number | undefined {
    return this.map().units.get(unit)?.fence;
  }

  /** Fencing number of a unit's owner before; 0 if there was none. */
  formerFenceOf(unit: string): number | undefined {
    return this.map().units.get(unit)?.former;
  }

  /** Units with the prefix that this instance owns and has not begun to hand over. */
  owned(prefix: string): readonly string[] {
    return [...this.#own()].filter((unit) =>
      unit.startsWith(prefix) && !this.#released.has(unit)
    );
  }

  /** Whether this instance may decide for a unit right now; asked before each start of work. */
  mayDecide(unit: string): boolean {
    return this.#own().has(unit) && !this.#released.has(unit) &&
      this.#membership.mayDecide();
  }

  /** Calls `listener` after each change of the map or of the members. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Stops deciding, gives every unit away, and ends the membership. */
  async leave(): Promise<void> {
    this.stop();
    for (const unit of this.#own()) this.#released.add(unit);
    this.#releasedAtRevision = Infinity;
    this.#changed();
    await this.#giveAll();
    await this.#membership.leave();
  }

  async #giveAll(): Promise<void> {
    const { id } = this.#membership.self;
    const attempts = 5;
    for (let attempt = 0; attempt < attempts; attempt++) {
      const next = handOver(this.map(), {
        self: id,
        leaving: true,
        retired: [...this.#retired],
      });
      if (next === this.map()) return;
      await this.#writer.write(next);
      if (!this.map().members.has(id)) return;
    }
  }

  #own(): ReadonlySet<string> {
    const map = this.map();
    if (this.#mine?.map !== map) {
      const { id } = this.#membership.self;
      const lost = map.members.get(id)?.standing === "lost";
      this.#mine = { map, units: new Set(lost ? [] : ownedBy(map, id)) };
    }
    return this.#mine.units;
  }

  #viewChanged(): void {
    const { mapRevision } = this.#membership.view;
    if (mapRevision > this.#releasedAtRevision) this.#released.clear();
    this.#changed();
    if (this.#running && this.#workLeft()) this.#scheduleIn(this.#delayMs());
  }

  #changed(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Whether the map needs a change by anybody. */
  #workLeft(): boolean {
    const { view } = this.#membership;
    const map = view.map;
    const arrived = [...view.registered.keys()].some((id) =>
      (map.members.get(id)?.standing ?? "lost") === "lost"
    );
    const pending = [...map.members.values()].some((member) =>
      member.standing !== "voter"
    );
    const orphaned = this.#units.some((unit) =>
      this.ownerOf(unit) === undefined
    );
    const retiring = [...this.#retired].some((unit) => this.#own().has(unit));
    return arrived || pending || orphaned || retiring ||
      this.#takeover.suspects().length > 0 ||
      excess(map, this.#membership.self.id).size > 0;
  }

  /** Members take turns by rank, so that the first one's write is seen before the next one's is due. */
  #delayMs(): number {
    const { claimDelayMs } = this.#membership.timing;
    const ids = [...this.#membership.view.registered.keys()].sort();
    const rank = Math.max(0, ids.indexOf(this.#membership.self.id));
    return claimDelayMs * (1 + rank + 0.5 * this.#options.random());
  }

  #scheduleIn(delayMs: number): void {
    this.#timer?.cancel();
    this.#timer = this.#options.clock.after(delayMs, () => this.#reconcile());
  }

  async #reconcile(): Promise<void> {
    if (!this.#running) return;
    if (!this.#busy && this.#membership.registered()) {
      this.#busy = true;
      await this.#assign();
      await this.#giveExcess();
      this.#busy = false;
    }
    if (!this.#running) return;
    const { reconcileEveryMs } = this.#membership.timing;
    if (this.#workLeft()) this.#scheduleIn(reconcileEveryMs + this.#delayMs());
  }

  async #assign(): Promise<void> {
    const { view } = this.#membership;
    const before = view.map;
    const [claims, enrolled] = await Promise.all([
      this.#takeover.claims(),
      this.#takeover.enrolled(),
    ]);
    if (view.map !== before) return;
    const next = assign(view.map, {
      registered: view.registered,
      lost: new Set(claims.map((claim) => claim.holder)),
      gone: this.#membership.gone(),
      enrolled,
      units: this.#units.filter((unit) => !this.#retired.has(unit)),
    });
    if (next === before) return;
    await this.#writer.write(
      next,
      claims.flatMap((claim) => claim.conditions),
    );
  }

  /** Stops deciding for the units first, then gives them away. */
  async #giveExcess(): Promise<void> {
    const { id } = this.#membership.self;
    const before = this.map();
    const retired = [...this.#retired].filter((unit) => this.#own().has(unit));
    const next = handOver(before, { self: id, leaving: false, retired });
    if (next === before) return;
    for (const unit of this.#own()) {
      if (next.units.get(unit)?.owner !== id) this.#released.add(unit);
    }
    this.#releasedAtRevision = this.#membership.view.mapRevision;
    this.#changed();
    const commit = await this.#writer.write(next);
    if (commit === "notSent") this.#keepReleased();
  }

  #keepReleased(): void {
    this.#released.clear();
    this.#changed();
  }

  async #answerEpoch(epoch: number): Promise<{ readonly epoch: number }> {
    if (this.map().epoch < epoch) await this.#membership.readMap();
    return { epoch: this.map().epoch };
  }
}
