/**
 * Free capacity of the other instances, from their latest load reports.
 *
 * @module
 */
import { fits, subtract } from "../resources.ts";
import type { Resources } from "../types.ts";

/** Free capacity of the peers' workers, less what this instance has dispatched to them since. */
export class PeerCapacities {
  readonly #free = new Map<string, Resources>();

  /** Replaces the free capacity of an owner. */
  set(owner: string, free: Resources): void {
    this.#free.set(owner, free);
  }

  /** Removes an owner. */
  forget(owner: string): void {
    this.#free.delete(owner);
  }

  /**
   * Picks the owner with the most free slots where the need fits with `margin` to spare, and
   * subtracts the need from its free capacity.
   */
  pick(
    need: Resources,
    options: {
      readonly margin: Resources;
      readonly avoid?: ReadonlySet<string>;
    },
  ): string | undefined {
    let best: string | undefined;
    let bestSlots = -Infinity;
    for (const [owner, free] of this.#free) {
      if (free.slots <= bestSlots || options.avoid?.has(owner)) continue;
      if (!fits(need, subtract(free, options.margin))) continue;
      best = owner;
      bestSlots = free.slots;
    }
    if (best !== undefined) this.#reserve(best, need);
    return best;
  }

  #reserve(owner: string, need: Resources): void {
    this.#free.set(owner, subtract(this.#free.get(owner)!, need));
  }
}
