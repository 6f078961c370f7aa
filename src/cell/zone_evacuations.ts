/**
 * The evacuated zones as this instance has last read them from the store.
 * State of an older revision never replaces newer state.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { EvacuationChange, EvacuationState } from "./ports.ts";

/**
 * The evacuations are stale once they were read longer ago than this fraction
 * of `evacuateMs`; the rest is for a start request in flight to a worker.
 */
const STALE_AGE_FACTOR = 0.8;

/** The moment at which a read of the evacuations from the store began. */
export interface ReadTime {
  /** When the request was sent to the store, monotonic milliseconds; the state in the response is at least as new. */
  readonly readMs: number;
}

/** Receives changes of the evacuated zones; implemented by the leader's cell. */
export interface EvacuationListener {
  /** Called after zones were evacuated or restored. */
  onChanged(): void;
  /** Number of runs on the workers of a zone, for log lines. */
  runsIn(zone: string): number;
}

/** Dependencies and settings of {@linkcode ZoneEvacuations}. */
export interface ZoneEvacuationsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Bound: no run starts in a zone once its evacuation is this old, milliseconds; `undefined` for no bound. */
  readonly evacuateMs: number | undefined;
}

interface ActiveEvacuation {
  readonly revision: number;
  /** When this instance first read the evacuation, monotonic milliseconds. */
  readonly seenMs: number;
}

/** The active evacuations. */
export class ZoneEvacuations {
  readonly #options: ZoneEvacuationsOptions;
  readonly #zones = new Map<string, ActiveEvacuation>();
  #revision = 0;
  #readMs = -Infinity;
  #listener: EvacuationListener | undefined;

  constructor(options: ZoneEvacuationsOptions) {
    this.#options = options;
  }

  /** Names of the evacuated zones. */
  get zones(): readonly string[] {
    return [...this.#zones.keys()];
  }

  /** Time since the request of the last successful read was sent to the store, milliseconds. */
  get ageMs(): number {
    return this.#options.clock.monotonic() - this.#readMs;
  }

  /**
   * Whether the state is so old that it may miss an evacuation: no run may be
   * started then. Always `false` without a bound.
   */
  get isStale(): boolean {
    const { evacuateMs } = this.#options;
    return evacuateMs !== undefined &&
      this.ageMs > STALE_AGE_FACTOR * evacuateMs;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** Sets the listener, which replaces the previous one; returns a function that removes it. */
  setListener(listener: EvacuationListener): () => void {
    this.#listener = listener;
    return () => {
      if (this.#listener === listener) this.#listener = undefined;
    };
  }

  /** Replaces the state with all evacuations of one read. */
  replace(state: EvacuationState, readTime: ReadTime): void {
    const { evacuations, revision } = state;
    if (!this.#acceptRevision(revision, readTime)) return;
    const wanted = new Map(
      evacuations.map(({ zone, revision }) => [zone, revision]),
    );
    let changed = false;
    for (const [zone, zoneRevision] of wanted) {
      changed = this.#markEvacuated(zone, zoneRevision) || changed;
    }
    for (const zone of this.zones) {
      if (!wanted.has(zone)) {
        changed = this.#markRestored(zone, revision) || changed;
      }
    }
    if (changed) this.#listener?.onChanged();
  }

  /** Applies changes since an earlier read. */
  apply(
    { evacuations, revision }: {
      readonly evacuations: readonly EvacuationChange[];
      readonly revision: number;
    },
    readTime: ReadTime,
  ): void {
    const knownRevision = this.#revision;
    if (!this.#acceptRevision(revision, readTime)) return;
    let changed = false;
    for (const { type, zone, revision: changeRevision } of evacuations) {
      // The current state already includes this change.
      if (changeRevision <= knownRevision) continue;
      changed = (type === "evacuated"
        ? this.#markEvacuated(zone, changeRevision)
        : this.#markRestored(zone, changeRevision)) || changed;
    }
    if (changed) this.#listener?.onChanged();
  }

  /** Advances the revision and the read time; returns `false` for state older than the current one. */
  #acceptRevision(revision: number, { readMs }: ReadTime): boolean {
    if (revision < this.#revision) return false;
    this.#revision = revision;
    this.#readMs = Math.max(this.#readMs, readMs);
    return true;
  }

  /** Marks a zone as evacuated. Returns whether it was not evacuated before. */
  #markEvacuated(zone: string, revision: number): boolean {
    const isNew = !this.#zones.has(zone);
    if (isNew) {
      const seenMs = this.#options.clock.monotonic();
      this.#zones.set(zone, { revision, seenMs });
      this.#options.log.info("zone.evacuated", {
        zone,
        revision,
        ageMs: Math.round(this.ageMs),
        runs: this.#listener?.runsIn(zone),
      });
    }
    return isNew;
  }

  /** Returns whether the zone was evacuated before. */
  #markRestored(zone: string, revision: number): boolean {
    const { clock, log } = this.#options;
    const evacuation = this.#zones.get(zone);
    if (evacuation === undefined) return false;
    this.#zones.delete(zone);
    log.info("zone.restored", {
      zone,
      revision,
      ageMs: Math.round(this.ageMs),
      evacuatedMs: Math.round(clock.monotonic() - evacuation.seenMs),
      runs: this.#listener?.runsIn(zone),
    });
    return true;
  }
}
