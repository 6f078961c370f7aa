/**
 * Workers whose running work has to be counted, as members that died may
 * have started some of it.
 *
 * @module
 */
import { ownedBy, owners, type OwnershipMap } from "../state/ownership_map.ts";

const WORK_KINDS = ["worker:", "rack:"];

/** Follows the map and keeps the units whose work is not counted yet. */
export class Leftovers {
  readonly #self: string;
  readonly #unsettled = new Set<string>();
  #map: OwnershipMap | undefined;

  constructor(self: string) {
    this.#self = self;
  }

  /** Units whose work is not counted yet. */
  unsettled(): readonly string[] {
    return [...this.#unsettled];
  }

  /** The work on a unit has been counted. */
  settle(unit: string): void {
    this.#unsettled.delete(unit);
  }

  /** Takes a new map: gained units, and after a death all units, have to be counted. */
  follow(map: OwnershipMap): void {
    const before = this.#map;
    if (before === map) return;
    this.#map = map;
    const own = ownedBy(map, this.#self).filter(holdsWork);
    const kept = new Set(own);
    for (const unit of this.#unsettled) {
      if (!kept.has(unit)) this.#unsettled.delete(unit);
    }
    const recount = before === undefined || hasDeaths(before, map);
    for (const unit of own) {
      if (recount || this.#gained(unit, before)) this.#unsettled.add(unit);
    }
  }

  /** A unit that is new to the next map has never run anything. */
  #gained(unit: string, before: OwnershipMap): boolean {
    const holding = before.units.get(unit);
    if (holding === undefined) return this.#map!.epoch !== before.epoch + 1;
    return holding.owner !== this.#self;
  }
}

function holdsWork(unit: string): boolean {
  return WORK_KINDS.some((kind) => unit.startsWith(kind));
}

function hasDeaths(before: OwnershipMap, after: OwnershipMap): boolean {
  const alive = new Set(owners(after));
  return owners(before).some((id) =>
    !alive.has(id) ||
    before.members.get(id)!.since !== after.members.get(id)!.since
  );
}
