/**
 * The workers in the platform's worker list, which lags behind the real state.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { FleetList, FleetSnapshot, Presence } from "../ports/list.ts";
import type { Worker } from "../types.ts";

/** Interval at which the list is read, milliseconds. */
export const LIST_INTERVAL_MS = 1_000;

/** Dependencies of {@linkcode Fleet}. */
export interface FleetOptions {
  readonly list: FleetList;
  readonly clock: Clock;
  readonly log: Log;
}

/** Reads the worker list periodically and reports changes. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #workers = new Map<string, Worker>();
  readonly #presence = new Map<string, Presence>();
  readonly #absentSinceMs = new Map<string, number>();
  readonly #listeners: (() => void)[] = [];
  #listing: FleetSnapshot | undefined;
  #timer: Timer | undefined;
  #fingerprint = "";

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Starts to read the list; resolves after the first reading. */
  async start(): Promise<void> {
    await this.#poll();
  }

  /** Stops reading. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** The latest list; `undefined` before the first successful reading. */
  listing(): FleetSnapshot | undefined {
    return this.#listing;
  }

  /** A worker in the list, live or leaving. */
  worker(id: string): Worker | undefined {
    return this.#workers.get(id);
  }

  /** Whether a worker may get new work according to the list. */
  isLive(id: string): boolean {
    return this.#presence.get(id) === "live";
  }

  /**
   * Time for which a worker has been missing from the list, milliseconds; 0 if
   * it is listed or never was.
   */
  absentMs(id: string): number {
    const sinceMs = this.#absentSinceMs.get(id);
    if (sinceMs === undefined) return 0;
    return this.#options.clock.monotonic() - sinceMs;
  }

  /** All workers in the list. */
  workers(): readonly Worker[] {
    return [...this.#workers.values()];
  }

  /** Calls `listener` after each reading that differs from the previous one. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  async #poll(): Promise<void> {
    const reading = await this.#options.list.read();
    reading.match(
      (listing) => this.#apply(listing),
      (failure) =>
        this.#options.log.warn("list.unavailable", {
          message: failure.message,
        }),
    );
    this.#timer = this.#options.clock.after(
      LIST_INTERVAL_MS,
      () => void this.#poll(),
    );
  }

  #apply(listing: FleetSnapshot): void {
    const fingerprint = JSON.stringify(listing);
    this.#listing = listing;
    if (fingerprint === this.#fingerprint) return;
    this.#fingerprint = fingerprint;
    const nowMs = this.#options.clock.monotonic();
    for (const id of this.#workers.keys()) this.#absentSinceMs.set(id, nowMs);
    this.#workers.clear();
    this.#presence.clear();
    for (const { worker, presence } of listing.workers) {
      this.#workers.set(worker.id, worker);
      this.#presence.set(worker.id, presence);
      this.#absentSinceMs.delete(worker.id);
    }
    for (const listener of this.#listeners) listener();
  }
}
