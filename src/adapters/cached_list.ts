/**
 * Short-lived cache of the platform's list, shared by all controllers of an
 * instance.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { ListFailure } from "../errors.ts";
import type { FleetList, FleetSnapshot } from "../ports/list.ts";

/** Maximum age at which a cached result, also a failed one, is returned. */
const MAX_AGE_MS = 900;

interface CachedListing {
  readonly requestedMs: number;
  readonly listing: ResultAsync<FleetSnapshot, ListFailure>;
}

/** A {@linkcode FleetList} that reads another list at most about once per second. */
export class CachedList implements FleetList {
  readonly #list: FleetList;
  readonly #clock: Clock;
  #cached: CachedListing | undefined;

  constructor(list: FleetList, clock: Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  read(): ResultAsync<FleetSnapshot, ListFailure> {
    const nowMs = this.#clock.monotonic();
    const cached = this.#cached;
    if (cached !== undefined && nowMs - cached.requestedMs < MAX_AGE_MS) {
      return cached.listing;
    }
    const listing = this.#list.read();
    this.#cached = { requestedMs: nowMs, listing };
    return listing;
  }
}
