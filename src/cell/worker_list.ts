/**
 * Updates the workers of the cell from the platform's list.
 *
 * @module
 */
import { ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { CellContext } from "./context.ts";
import { runsInEvacuatedZones } from "./fleet.ts";
import type { PlatformDirectory } from "./ports.ts";
import type { WorkerEntry } from "./types.ts";

/**
 * The list is read at this interval. A worker must be idle 2 s after it has
 * reported that it is leaving.
 */
const LIST_INTERVAL_MS = 700;
/**
 * Worker entries that expired while the store was unavailable are listed again
 * within this time once it is available; source: the platform's pages, plus one
 * reading of the list.
 */
const STORE_RETURN_GRACE_MS = 2_700;

/** Reads the list of workers for one leader. */
export class WorkerList {
  readonly #context: CellContext;
  readonly #directory: PlatformDirectory;
  readonly #onListed: (worker: string) => void;
  readonly #unwatchZones: () => void;
  #lastFailureMs: number | undefined;
  /** Whether a list has been applied. */
  #hasList = false;
  /** Entries of the last list that describe no worker. */
  #foreignEntries = 0;
  #closed = false;

  /** `onListed` is called for each worker of every list. */
  constructor(
    context: CellContext,
    directory: PlatformDirectory,
    onListed: (worker: string) => void,
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#onListed = onListed;
    const { evacuations, fleet, metrics } = context;
    this.#unwatchZones = evacuations.setListener({
      onChanged: () => this.#updateEvacuated(),
      runsIn: (zone) => this.#countRunsIn(zone),
    });
    metrics.gauge("runs_in_evacuated_zones", () => runsInEvacuatedZones(fleet));
  }

  /**
   * Reads what the first scheduling pass needs: the workers and the evacuated
   * zones.
   */
  read(): ResultAsync<readonly WorkerEntry[], StoreFailure> {
    const { clock, evacuations } = this.#context;
    const readMs = clock.monotonic();
    return ResultAsync.combine([
      this.#directory.workers(),
      this.#directory.evacuations(),
    ]).map(([{ workers, foreign }, state]) => {
      evacuations.replace(state, { readMs });
      this.#recordForeign(foreign);
      return workers;
    });
  }

  /**
   * Reads and applies the list at intervals until {@linkcode close} is called.
   */
  async run(): Promise<void> {
    const { clock, log, fence } = this.#context;
    while (!this.#closed) {
      await sleep(clock, LIST_INTERVAL_MS);
      if (this.#closed) return;
      const result = await this.#directory.workers();
      result.match(
        ({ workers, foreign }) => {
          this.#recordForeign(foreign);
          this.apply(workers);
        },
        (failure) => {
          this.#lastFailureMs = clock.monotonic();
          log.warn("list.unread", {
            fence,
            failure: failure.type,
            reason: failure.message,
          });
        },
      );
    }
  }

  /**
   * Applies a list: adds and updates its workers, and marks all others as
   * unlisted.
   */
  apply(entries: readonly WorkerEntry[]): void {
    if (this.#closed) return;
    for (const entry of entries) this.#applyEntry(entry);
    this.#hasList = true;
    if (this.#mayBeIncomplete()) return;
    const listed = new Set(entries.map((entry) => entry.id));
    for (const worker of this.#context.fleet.workers.values()) {
      if (!worker.listed || listed.has(worker.id)) continue;
      worker.listed = false;
      this.#context.log.info("worker.unlisted", {
        worker: worker.id,
        runs: worker.runs.size,
      });
    }
  }

  /** Stops reading the list. */
  close(): void {
    this.#closed = true;
    this.#unwatchZones();
    this.#context.metrics.gauge("runs_in_evacuated_zones", () => 0);
  }

  /**
   * Marks the workers of evacuated zones, which get no new runs, and unmarks
   * the others.
   */
  #updateEvacuated(): void {
    const { fleet, evacuations, requestPass } = this.#context;
    for (const worker of fleet.workers.values()) {
      if (worker.entry === undefined) continue;
      worker.evacuated = evacuations.has(worker.entry.zone);
    }
    requestPass();
  }

  #countRunsIn(zone: string): number {
    let runs = 0;
    for (const { entry, runs: there } of this.#context.fleet.workers.values()) {
      if (entry?.zone === zone) runs += there.size;
    }
    return runs;
  }

  #applyEntry(entry: WorkerEntry): void {
    const { fleet, log, evacuations, workerSpeeds } = this.#context;
    const worker = fleet.getOrCreate(entry.id);
    const isNew = !worker.listed;
    const changed = !worker.listed ||
      worker.entry?.draining !== entry.draining;
    // The workers of the first list are not logged one by one. The
    // `cell.recovered` line counts them.
    if (changed && this.#hasList) {
      log.info("worker.listed", {
        worker: entry.id,
        address: entry.address,
        draining: entry.draining,
      });
    }
    worker.entry = entry;
    worker.evacuated = evacuations.has(entry.zone);
    worker.listed = true;
    if (isNew) workerSpeeds.restoreWorker(worker);
    this.#onListed(entry.id);
  }

  /** Logs a change of the number of entries that describe no worker. */
  #recordForeign(entries: number): void {
    if (entries === this.#foreignEntries) return;
    this.#foreignEntries = entries;
    this.#context.log.warn("list.foreign", {
      fence: this.#context.fence,
      entries,
    });
  }

  #mayBeIncomplete(): boolean {
    if (this.#lastFailureMs === undefined) return false;
    const sinceMs = this.#context.clock.monotonic() - this.#lastFailureMs;
    return sinceMs < STORE_RETURN_GRACE_MS;
  }
}
