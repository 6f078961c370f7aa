/**
 * Fetches a newer operator set from another instance if the store does not
 * deliver it in time.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { ActiveSet } from "./active_set.ts";
import type { ClusterSet } from "./types.ts";

/**
 * Time to wait for a new set from the store; it usually arrives within it. A set
 * of a thousand queues is large, and otherwise all instances would fetch it from
 * the same one.
 */
const STORE_GRACE_MS = 300;

/** Dependencies of a {@linkcode SetFetcher}. */
export interface SetFetcherOptions {
  readonly set: ActiveSet;
  /** Requests the set of an instance; resolves to `undefined` without a response. */
  readonly fetch: (instance: string) => Promise<ClusterSet | undefined>;
  readonly clock: Clock;
  readonly log: Log;
}

/** Fetches sets from other instances, one at a time. */
export class SetFetcher {
  readonly #options: SetFetcherOptions;
  #fetching = false;

  constructor(options: SetFetcherOptions) {
    this.#options = options;
  }

  /** Tries to make at least `version` active, from the store or else from `instance`. Does nothing while a fetch is in progress. */
  async ensureVersion(instance: string, version: number): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    try {
      await this.#fetchUnlessActive(instance, version);
    } finally {
      this.#fetching = false;
    }
  }

  async #fetchUnlessActive(instance: string, version: number): Promise<void> {
    const { set, fetch, clock, log } = this.#options;
    await sleep(clock, STORE_GRACE_MS);
    if (set.version >= version) return;
    const fetched = await fetch(instance);
    if (fetched !== undefined) return set.activate(fetched, instance);
    log.warn("set.unfetched", { instance, version, before: set.version });
  }
}
