/**
 * Writes the ownership map and tells the other members of it.
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

/** What a {@linkcode MapWriter} works with. */
export interface MapWriterOptions {
  readonly membership: Membership;
  readonly store: Store;
  readonly peers: Peers;
}

/** Changes the map by compare-and-swap. */
export class MapWriter {
  readonly #options: MapWriterOptions;

  constructor(options: MapWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a map that follows from the one last read, and reads back what
   * became of it unless that is certain. A write whose answer was lost may
   * take effect until the map has moved on.
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
      [{ type: "put", key: OWNERSHIP_KEY, value }, ...this.#forget(next)],
    );
    if (commit.isErr() && commit.error.type === "storeUnreachable") {
      return "notSent";
    }
    if (commit.isOk() && commit.value.type === "committed") {
      const { revision } = commit.value;
      view.readMap({ key: OWNERSHIP_KEY, value, revision });
      this.#tellOthers(next.epoch);
      return "sent";
    }
    await membership.readMap();
    return "sent";
  }

  /** Deletes the registration counts of members that the map no longer has. */
  #forget(next: OwnershipMap): readonly Write[] {
    return [...this.#options.membership.view.map.members.keys()]
      .filter((id) => !next.members.has(id))
      .map((id) => ({ type: "delete", key: REGISTRATIONS_PREFIX + id }));
  }

  #tellOthers(epoch: number): void {
    const { peers, membership } = this.#options;
    for (const { id } of membership.members()) {
      if (id === membership.self.id) continue;
      peers.notify(id, mapChangedNotice, { epoch });
    }
  }
}
