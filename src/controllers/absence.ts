/**
 * Which instances the platform's list says are gone for good.
 *
 * @module
 */
import type { FleetSnapshot } from "../ports/list.ts";
import type { Instance } from "../types.ts";
import type { Timing } from "./timing.ts";

interface Sighting {
  readonly instance: Instance;
  seen: boolean;
  absentSinceMs: number | undefined;
}

/**
 * Watches the list over time, as one reading proves nothing: the list lags,
 * and a member that has just gone may have left confirmations behind.
 */
export class Absence {
  readonly #timing: Timing;
  readonly #sightings = new Map<string, Sighting>();
  #readAtMs = -Infinity;

  constructor(timing: Timing) {
    this.#timing = timing;
  }

  /** Takes a reading of the list about the known instances. */
  read(
    listing: FleetSnapshot,
    known: readonly Instance[],
    at: {
      readonly nowMs: number;
      readonly registered: ReadonlyMap<string, Instance>;
    },
  ): void {
    const listed = new Set(listing.instances.map((each) => each.peerAddress));
    this.#readAtMs = at.nowMs;
    this.#keepOnly(known);
    for (const instance of known) {
      const sighting = this.#of(instance);
      const present = listed.has(instance.peerAddress);
      if (present) sighting.seen = true;
      const live = present && !succeeded(instance, at.registered);
      sighting.absentSinceMs = live
        ? undefined
        : sighting.absentSinceMs ?? at.nowMs;
    }
  }

  /** Instances that have been absent for long enough. */
  gone(): ReadonlySet<string> {
    const gone = [...this.#sightings.values()]
      .filter((sighting) => this.#isGone(sighting))
      .map((sighting) => sighting.instance.id);
    return new Set(gone);
  }

  #isGone({ seen, absentSinceMs }: Sighting): boolean {
    if (absentSinceMs === undefined) return false;
    const { goneAfterMs, neverSeenGoneAfterMs } = this.#timing;
    const neededMs = seen ? goneAfterMs : neverSeenGoneAfterMs;
    return this.#readAtMs - absentSinceMs >= neededMs;
  }

  #of(instance: Instance): Sighting {
    const known = this.#sightings.get(instance.id);
    if (known !== undefined) return known;
    const sighting = { instance, seen: false, absentSinceMs: undefined };
    this.#sightings.set(instance.id, sighting);
    return sighting;
  }

  #keepOnly(known: readonly Instance[]): void {
    const ids = new Set(known.map((instance) => instance.id));
    for (const id of this.#sightings.keys()) {
      if (!ids.has(id)) this.#sightings.delete(id);
    }
  }
}

/** Whether a later process registered under the same address; two cannot listen on it. */
function succeeded(
  instance: Instance,
  registered: ReadonlyMap<string, Instance>,
): boolean {
  if (registered.has(instance.id)) return false;
  return [...registered.values()].some((other) =>
    other.peerAddress === instance.peerAddress
  );
}
