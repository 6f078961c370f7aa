/**
 * Writes the ownership map and notifies the other members of the new epoch.
 *
 * @module
 */
import type { Peers } from "../ports/peers.ts";
import type { Condition, Store, Write } from "../ports/store.ts";
import { encodeMap } from "../state/ownership_codec.ts";
import type { OwnershipMap } from "../state/ownership_map.ts";
import {
  mapChangedNotice,
  OWNERSHIP_KEY,
  REGISTRATIONS_PREFIX,
} from "./cluster_protocol.ts";
import type { Membership } from "./membership.ts";

/** Dependencies of a {@linkcode MapWriter}. */
export interface MapWriterOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
}

/** Changes the ownership map by compare-and-swap on its revision. */
export class MapWriter {
  readonly #options: MapWriterOptions;

  constructor(options: MapWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes the successor of the map last read, unless one of `conditions`
   * fails. After a conflict or an unknown outcome, reads the map back. A write
   * whose response was lost may still be applied until the map has a newer
   * revision. Returns `notSent` only if the write never reached the store.
   */
  async write(
    next: OwnershipMap,
    conditions: readonly Condition[] = [],
  ): Promise<"sent" | "notSent"> {
    const { store, membership } = this.#options;
    const { view } = membership;
    const value = encodeMap(next);
    const commit = await store.commit(
      [{ key: OWNERSHIP_KEY, revision: view.mapRevision }, ...conditions],
      [
        { type: "put", key: OWNERSHIP_KEY, value },
        ...this.#registrationDeletes(next),
      ],
    );
    if (commit.isErr() && commit.error.type === "storeUnreachable") {
      return "notSent";
    }
    if (commit.isOk() && commit.value.type === "committed") {
      const { revision } = commit.value;
      view.applyMap({ key: OWNERSHIP_KEY, value, revision });
      this.#notifyPeers(next.epoch);
      return "sent";
    }
    await membership.readMap();
    return "sent";
  }

  /** Deletes of the registration counts of members that `next` no longer contains. */
  #registrationDeletes(next: OwnershipMap): readonly Write[] {
    return [...this.#options.membership.view.map.members.keys()]
      .filter((id) => !next.members.has(id))
      .map((id) => ({ type: "delete", key: REGISTRATIONS_PREFIX + id }));
  }

  #notifyPeers(epoch: number): void {
    const { peers, membership } = this.#options;
    for (const { id } of membership.members()) {
      if (id === membership.self.id) continue;
      peers.notify(id, mapChangedNotice, { epoch });
    }
  }
}
