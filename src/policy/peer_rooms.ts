/**
 * Where the other instances have room, as last heard.
 *
 * @module
 */
import { fits, subtract } from "../resources.ts";
import type { Resources } from "../types.ts";

/** Free room of peers' workers, less what this instance has already sent there. */
export class PeerRooms {
  readonly #free = new Map<string, Resources>();

  /** Replaces what is known of an owner. */
  set(owner: string, free: Resources): void {
    this.#free.set(owner, free);
  }

  /** Forgets an owner. */
  forget(owner: string): void {
    this.#free.delete(owner);
  }

  /** Picks the owner with the most slots free beyond `margin` and counts the need as sent there. */
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
    if (best !== undefined) this.#sent(best, need);
    return best;
  }

  #sent(owner: string, need: Resources): void {
    this.#free.set(owner, subtract(this.#free.get(owner)!, need));
  }
}
