/**
 * The evacuated zones as this instance knows them. A reading of an older
 * revision never replaces a newer one.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { EvacuationChange, EvacuationState } from "./ports.ts";

/** Part of the bound on an evacuation after which a reading is too old: the rest is for the order on its way to a worker. */
const STALE_SHARE = 0.8;

/** When the store was asked, monotonic milliseconds: its answer is at least as new. */
export interface Reading {
  readonly readMs: number;
}

/** The holder's part of this process, as long as it holds the cell. */
export interface ZoneWatcher {
  /** Zones were evacuated or restored. */
  changed(): void;
  /** Runs on the workers of a zone. */
  runsIn(zone: string): number;
}

/** What the evacuations need. */
export interface ZoneEvacuationsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Time after which nothing starts in an evacuated zone, milliseconds; `undefined` for no bound. */
  readonly evacuateMs: number | undefined;
}

interface Standing {
  readonly revision: number;
  /** When it was first seen, monotonic milliseconds. */
  readonly seenMs: number;
}

/** The evacuations in force. */
export class ZoneEvacuations {
  readonly #options: ZoneEvacuationsOptions;
  readonly #zones = new Map<string, Standing>();
  #revision = 0;
  #readMs = -Infinity;
  #watcher: ZoneWatcher | undefined;

  constructor(options: ZoneEvacuationsOptions) {
    this.#options = options;
  }

  /** Evacuated zones. */
  get zones(): readonly string[] {
    return [...this.#zones.keys()];
  }

  /** Time since the store was last asked with success, milliseconds. */
  get ageMs(): number {
    return this.#options.clock.monotonic() - this.#readMs;
  }

  /**
   * Whether the last reading is so old that an evacuation may have passed
   * unseen: nothing may be started by it. Never, where no bound is set.
   */
  get isStale(): boolean {
    const { evacuateMs } = this.#options;
    return evacuateMs !== undefined && this.ageMs > STALE_SHARE * evacuateMs;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** Tells a watcher of changes, in place of the one before; gives what ends that. */
  watch(watcher: ZoneWatcher): () => void {
    this.#watcher = watcher;
    return () => {
      if (this.#watcher === watcher) this.#watcher = undefined;
    };
  }

  /** Takes all evacuations of one reading. */
  replace(state: EvacuationState, reading: Reading): void {
    const { evacuations, revision } = state;
    if (!this.#accept(revision, reading)) return;
    const wanted = new Map(
      evacuations.map(({ zone, revision }) => [zone, revision]),
    );
    let changed = false;
    for (const [zone, at] of wanted) {
      changed = this.#evacuate(zone, at) || changed;
    }
    for (const zone of this.zones) {
      if (!wanted.has(zone)) changed = this.#restore(zone, revision) || changed;
    }
    if (changed) this.#watcher?.changed();
  }

  /** Takes what has changed since an earlier reading. */
  apply(
    { evacuations, revision }: {
      readonly evacuations: readonly EvacuationChange[];
      readonly revision: number;
    },
    reading: Reading,
  ): void {
    const known = this.#revision;
    if (!this.#accept(revision, reading)) return;
    let changed = false;
    for (const { type, zone, revision: at } of evacuations) {
      // A newer reading shows it already.
      if (at <= known) continue;
      changed = (type === "evacuated"
        ? this.#evacuate(zone, at)
        : this.#restore(zone, at)) || changed;
    }
    if (changed) this.#watcher?.changed();
  }

  #accept(revision: number, { readMs }: Reading): boolean {
    if (revision < this.#revision) return false;
    this.#revision = revision;
    this.#readMs = Math.max(this.#readMs, readMs);
    return true;
  }

  /** Whether that is news. */
  #evacuate(zone: string, revision: number): boolean {
    const isNew = !this.#zones.has(zone);
    if (isNew) {
      const seenMs = this.#options.clock.monotonic();
      this.#zones.set(zone, { revision, seenMs });
      this.#options.log.info("zone.evacuated", {
        zone,
        revision,
        ageMs: Math.round(this.ageMs),
        runs: this.#watcher?.runsIn(zone),
      });
    }
    return isNew;
  }

  /** Whether that is news. */
  #restore(zone: string, revision: number): boolean {
    const { clock, log } = this.#options;
    const standing = this.#zones.get(zone);
    if (standing === undefined) return false;
    this.#zones.delete(zone);
    log.info("zone.restored", {
      zone,
      revision,
      ageMs: Math.round(this.ageMs),
      evacuatedMs: Math.round(clock.monotonic() - standing.seenMs),
      runs: this.#watcher?.runsIn(zone),
    });
    return true;
  }
}
