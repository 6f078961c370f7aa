/**
 * Keeps the operators' set and the evacuated zones up with the store.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { PlatformDirectory } from "./ports.ts";
import type { SetInForce } from "./set_in_force.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Delay before the store is asked again after a failure, milliseconds. */
const AGAIN_MS = 250;

/** What the watch needs. */
export interface OperatorWatchOptions {
  readonly directory: PlatformDirectory;
  readonly set: SetInForce;
  readonly evacuations: ZoneEvacuations;
  readonly clock: Clock;
  readonly log: Log;
}

/** One reading, then one waiting call after the other. */
export class OperatorWatch {
  readonly #options: OperatorWatchOptions;
  /** Whether it was told that the zones are unread for too long. */
  #toldUnread = false;

  constructor(options: OperatorWatchOptions) {
    this.#options = options;
  }

  /** Follows the store until the process ends. */
  async follow(): Promise<void> {
    const { clock, evacuations } = this.#options;
    let after: number | undefined;
    for (;;) {
      // A process that stood still waits for no change before it knows.
      const known = evacuations.isStale ? undefined : after;
      after = known === undefined
        ? await this.#read()
        : await this.#next(known);
      if (after === undefined) await sleep(clock, AGAIN_MS);
    }
  }

  /** Revision of what was read; `undefined` if the store is to be read again. */
  async #read(): Promise<number | undefined> {
    const { directory, set, evacuations, clock } = this.#options;
    const readMs = clock.monotonic();
    const state = await directory.operators();
    if (state.isErr()) {
      await this.#readZones();
      return undefined;
    }
    evacuations.replace(state.value, { readMs });
    this.#toldUnread = false;
    if (state.value.set === undefined) return undefined;
    set.offer(state.value.set, "store");
    return state.value.revision;
  }

  /** Revision up to which nothing is missed; `undefined` if the store is to be read again. */
  async #next(after: number): Promise<number | undefined> {
    const { directory, set, evacuations, clock } = this.#options;
    const readMs = clock.monotonic();
    const next = await directory.nextOperators(after);
    if (next.isErr()) return undefined;
    const news = next.value;
    switch (news.type) {
      case "state":
        evacuations.replace(news, { readMs });
        break;
      case "changes":
        evacuations.apply(news, { readMs });
        break;
    }
    if (news.set !== undefined) set.offer(news.set, "store");
    return news.revision;
  }

  /** Nothing starts by zones that are unread for too long, and a large set may not get through where these do. */
  async #readZones(): Promise<void> {
    const { directory, evacuations, clock, log } = this.#options;
    if (!evacuations.isStale) return;
    const readMs = clock.monotonic();
    const state = await directory.evacuations();
    if (state.isOk()) return evacuations.replace(state.value, { readMs });
    if (this.#toldUnread) return;
    this.#toldUnread = true;
    log.warn("zones.unread", {
      ageMs: Math.round(evacuations.ageMs),
      failure: state.error.type,
      reason: state.error.message,
    });
  }
}
