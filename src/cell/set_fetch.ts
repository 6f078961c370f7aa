/**
 * Fetches a newer set from another instance, where the store does not bring
 * it soon.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { SetInForce } from "./set_in_force.ts";
import type { ClusterSet } from "./types.ts";

/** The store brings a new set within this time as a rule, milliseconds; a set of a thousand queues is large, and all instances would ask the same one for it. */
const STORE_FIRST_MS = 300;

/** What fetching needs. */
export interface SetFetchOptions {
  readonly set: SetInForce;
  /** Asks an instance for its set; `undefined` if it did not answer. */
  readonly fetch: (instance: string) => Promise<ClusterSet | undefined>;
  readonly clock: Clock;
  readonly log: Log;
}

/** One fetch at a time. */
export class SetFetch {
  readonly #options: SetFetchOptions;
  #underWay = false;

  constructor(options: SetFetchOptions) {
    this.#options = options;
  }

  /** Gets at least `version` into force, from the store or from `instance`. */
  async wanted(instance: string, version: number): Promise<void> {
    if (this.#underWay) return;
    this.#underWay = true;
    try {
      await this.#fetchUnlessThere(instance, version);
    } finally {
      this.#underWay = false;
    }
  }

  async #fetchUnlessThere(instance: string, version: number): Promise<void> {
    const { set, fetch, clock, log } = this.#options;
    await sleep(clock, STORE_FIRST_MS);
    if (set.version >= version) return;
    const fetched = await fetch(instance);
    if (fetched !== undefined) return set.offer(fetched, instance);
    log.warn("set.unfetched", { instance, version, before: set.version });
  }
}
