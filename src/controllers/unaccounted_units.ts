/**
 * Units whose running work must be counted because a former owner may have
 * started some of it.
 *
 * @module
 */
import {
  eligibleOwners,
  ownedBy,
  type OwnershipMap,
} from "../state/ownership_map.ts";

const WORK_UNIT_PREFIXES = ["worker:", "rack:"];

/** Tracks the owned units whose running work has not been counted yet. */
export class UnaccountedUnits {
  readonly #self: string;
  readonly #units = new Set<string>();
  #map: OwnershipMap | undefined;

  constructor(self: string) {
    this.#self = self;
  }

  /** Owned units whose running work has not been counted yet. */
  list(): readonly string[] {
    return [...this.#units];
  }

  /** Records that the work on a unit has been counted. */
  markAccounted(unit: string): void {
    this.#units.delete(unit);
  }

  /**
   * Applies a new map. Gained units must be counted; after the loss of a member
   * all owned units must be.
   */
  applyMap(map: OwnershipMap): void {
    const before = this.#map;
    if (before === map) return;
    this.#map = map;
    const own = ownedBy(map, this.#self).filter(runsWork);
    const kept = new Set(own);
    for (const unit of this.#units) {
      if (!kept.has(unit)) this.#units.delete(unit);
    }
    const recount = before === undefined || hasLostMembers(before, map);
    for (const unit of own) {
      if (recount || this.#wasGained(unit, before)) this.#units.add(unit);
    }
  }

  /**
   * Whether this instance may have gained a unit from another owner. A unit that
   * the directly preceding map did not contain is new and has never run work.
   */
  #wasGained(unit: string, before: OwnershipMap): boolean {
    const previous = before.units.get(unit);
    if (previous === undefined) return this.#map!.epoch !== before.epoch + 1;
    return previous.owner !== this.#self;
  }
}

function runsWork(unit: string): boolean {
  return WORK_UNIT_PREFIXES.some((kind) => unit.startsWith(kind));
}

function hasLostMembers(before: OwnershipMap, after: OwnershipMap): boolean {
  const alive = new Set(eligibleOwners(after));
  return eligibleOwners(before).some((id) =>
    !alive.has(id) ||
    before.members.get(id)!.since !== after.members.get(id)!.since
  );
}
