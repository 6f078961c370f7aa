/**
 * Keeps the operator set and the evacuated zones of this instance up to date
 * with the store.
 *
 * @module
 */
import { describeThrown } from "../errors.ts";
import { type Clock, sleep } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { PlatformDirectory } from "./ports.ts";
import type { ActiveSet } from "./active_set.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Delay before the store is read again after a failure. */
const RETRY_DELAY_MS = 250;

/** Dependencies of an {@linkcode OperatorWatch}. */
export interface OperatorWatchOptions {
  readonly directory: PlatformDirectory;
  readonly set: ActiveSet;
  readonly evacuations: ZoneEvacuations;
  readonly clock: Clock;
  readonly log: Log;
}

/** Reads the operators' state once and then waits for updates, one long poll at a time. */
export class OperatorWatch {
  readonly #options: OperatorWatchOptions;
  /** Whether stale evacuations have been logged since the last successful read. */
  #warnedUnread = false;

  constructor(options: OperatorWatchOptions) {
    this.#options = options;
  }

  /** Runs until the process ends. */
  async run(): Promise<void> {
    const { clock, evacuations, log } = this.#options;
    let lastRevision: number | undefined;
    for (;;) {
      // After a suspension of the process the state is stale: read it at once
      // rather than wait for the next change.
      const knownRevision = evacuations.isStale ? undefined : lastRevision;
      try {
        lastRevision = knownRevision === undefined
          ? await this.#readState()
          : await this.#waitForUpdate(knownRevision);
      } catch (error) {
        const reason = describeThrown(error);
        log.error("operators.failed", { reason });
        lastRevision = undefined;
      }
      if (lastRevision === undefined) await sleep(clock, RETRY_DELAY_MS);
    }
  }

  /** Reads the whole state. Resolves to its revision, or to `undefined` if it must be read again. */
  async #readState(): Promise<number | undefined> {
    const { directory, set, evacuations, clock } = this.#options;
    const readMs = clock.monotonic();
    const state = await directory.operatorState();
    if (state.isErr()) {
      await this.#readEvacuations();
      return undefined;
    }
    evacuations.replace(state.value, { readMs });
    this.#warnedUnread = false;
    if (state.value.set === undefined) return undefined;
    set.activate(state.value.set, "store");
    return state.value.revision;
  }

  /** Waits for an update. Resolves to the revision up to which all changes are applied, or to `undefined` if the state must be read again. */
  async #waitForUpdate(afterRevision: number): Promise<number | undefined> {
    const { directory, set, evacuations, clock } = this.#options;
    const readMs = clock.monotonic();
    const result = await directory.nextOperatorUpdate(afterRevision);
    if (result.isErr()) return undefined;
    const update = result.value;
    switch (update.type) {
      case "state":
        evacuations.replace(update, { readMs });
        break;
      case "changes":
        evacuations.apply(update, { readMs });
        break;
    }
    if (update.set !== undefined) set.activate(update.set, "store");
    return update.revision;
  }

  /**
   * Reads the evacuations alone if they are stale. No run is started while they
   * are, and they may still be readable when reading a large set fails.
   */
  async #readEvacuations(): Promise<void> {
    const { directory, evacuations, clock, log } = this.#options;
    if (!evacuations.isStale) return;
    const readMs = clock.monotonic();
    const state = await directory.evacuations();
    if (state.isOk()) return evacuations.replace(state.value, { readMs });
    if (this.#warnedUnread) return;
    this.#warnedUnread = true;
    log.warn("zones.unread", {
      ageMs: Math.round(evacuations.ageMs),
      failure: state.error.type,
      reason: state.error.message,
    });
  }
}
