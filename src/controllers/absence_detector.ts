/**
 * Detects instances that are permanently gone according to the platform's list.
 *
 * @module
 */
import type { FleetSnapshot } from "../ports/list.ts";
import type { Instance } from "../types.ts";
import type { Timing } from "./timing.ts";

/** What the reads of the list have shown about one instance. */
interface ListRecord {
  readonly instance: Instance;
  wasListed: boolean;
  absentSinceMs: number | undefined;
}

/**
 * Compares successive reads of the list. A single read proves nothing: the
 * list lags behind, and confirmations given by a member that has just gone may
 * still be valid.
 */
export class AbsenceDetector {
  readonly #timing: Timing;
  readonly #records = new Map<string, ListRecord>();
  #observedAtMs = -Infinity;

  constructor(timing: Timing) {
    this.#timing = timing;
  }

  /** Evaluates one read of the list for the known instances. */
  observe(
    listing: FleetSnapshot,
    known: readonly Instance[],
    at: {
      readonly nowMs: number;
      readonly registered: ReadonlyMap<string, Instance>;
    },
  ): void {
    const listed = new Set(listing.instances.map((each) => each.peerAddress));
    this.#observedAtMs = at.nowMs;
    this.#retain(known);
    for (const instance of known) {
      const record = this.#recordOf(instance);
      const present = listed.has(instance.peerAddress);
      if (present) record.wasListed = true;
      const live = present && !wasReplaced(instance, at.registered);
      record.absentSinceMs = live
        ? undefined
        : record.absentSinceMs ?? at.nowMs;
    }
  }

  /** Ids of the instances that have been absent for longer than the configured time. */
  gone(): ReadonlySet<string> {
    const gone = [...this.#records.values()]
      .filter((record) => this.#isGone(record))
      .map((record) => record.instance.id);
    return new Set(gone);
  }

  #isGone({ wasListed, absentSinceMs }: ListRecord): boolean {
    if (absentSinceMs === undefined) return false;
    const { goneAfterMs, neverSeenGoneAfterMs } = this.#timing;
    const neededMs = wasListed ? goneAfterMs : neverSeenGoneAfterMs;
    return this.#observedAtMs - absentSinceMs >= neededMs;
  }

  #recordOf(instance: Instance): ListRecord {
    const known = this.#records.get(instance.id);
    if (known !== undefined) return known;
    const record = { instance, wasListed: false, absentSinceMs: undefined };
    this.#records.set(instance.id, record);
    return record;
  }

  #retain(known: readonly Instance[]): void {
    const ids = new Set(known.map((instance) => instance.id));
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id);
    }
  }
}

/**
 * Whether a later process has registered with the same address. Two processes
 * cannot listen on one address, so the earlier one has ended.
 */
function wasReplaced(
  instance: Instance,
  registered: ReadonlyMap<string, Instance>,
): boolean {
  if (registered.has(instance.id)) return false;
  return [...registered.values()].some((other) =>
    other.peerAddress === instance.peerAddress
  );
}
