/**
 * Keeps the cell's workers in step with the platform's list.
 *
 * @module
 */
import { ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { CellContext } from "./context.ts";
import { runsInEvacuated } from "./fleet.ts";
import type { PlatformDirectory } from "./ports.ts";
import type { WorkerEntry } from "./types.ts";

/** The list is read this often, milliseconds; a leaving worker must be idle 2 s after its report. */
const LIST_EVERY_MS = 700;
/** Entries that lapsed with the store are back this long after its return, milliseconds; source: the platform's pages, and one reading of the list. */
const LISTING_GRACE_MS = 2_700;

/** Reads the list for one holder. */
export class WorkerList {
  readonly #context: CellContext;
  readonly #directory: PlatformDirectory;
  readonly #follow: (worker: string) => void;
  readonly #unwatchZones: () => void;
  #failedMs: number | undefined;
  /** Whether a list has been taken. */
  #read = false;
  #closed = false;

  /** `follow` is called for each worker that is listed. */
  constructor(
    context: CellContext,
    directory: PlatformDirectory,
    follow: (worker: string) => void,
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#follow = follow;
    const { evacuations, fleet, metrics } = context;
    this.#unwatchZones = evacuations.watch({
      changed: () => this.#markZones(),
      runsIn: (zone) => this.#runsIn(zone),
    });
    metrics.gauge("runs_in_evacuated_zones", () => runsInEvacuated(fleet));
  }

  /** Reads what must be known before the first start: the workers and the evacuated zones. */
  read(): ResultAsync<readonly WorkerEntry[], StoreFailure> {
    const { clock, evacuations } = this.#context;
    const readMs = clock.monotonic();
    return ResultAsync.combine([
      this.#directory.workers(),
      this.#directory.evacuations(),
    ]).map(([{ workers }, state]) => {
      evacuations.replace(state, { readMs });
      return workers;
    });
  }

  /** Reads until it is closed. */
  async run(): Promise<void> {
    const { clock, log, fence } = this.#context;
    while (!this.#closed) {
      await sleep(clock, LIST_EVERY_MS);
      if (this.#closed) return;
      const result = await this.#directory.workers();
      result.match(
        ({ workers }) => this.take(workers),
        (failure) => {
          this.#failedMs = clock.monotonic();
          log.warn("list.unread", {
            fence,
            failure: failure.type,
            reason: failure.message,
          });
        },
      );
    }
  }

  /** Takes a list. */
  take(entries: readonly WorkerEntry[]): void {
    if (this.#closed) return;
    for (const entry of entries) this.#takeEntry(entry);
    this.#read = true;
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

  /** Reads no more. */
  close(): void {
    this.#closed = true;
    this.#unwatchZones();
    this.#context.metrics.gauge("runs_in_evacuated_zones", () => 0);
  }

  /** Workers of evacuated zones take no work from now on; others do again. */
  #markZones(): void {
    const { fleet, evacuations, kick } = this.#context;
    for (const worker of fleet.workers.values()) {
      if (worker.entry === undefined) continue;
      worker.evacuated = evacuations.has(worker.entry.zone);
    }
    kick();
  }

  #runsIn(zone: string): number {
    let runs = 0;
    for (const { entry, runs: there } of this.#context.fleet.workers.values()) {
      if (entry?.zone === zone) runs += there.size;
    }
    return runs;
  }

  #takeEntry(entry: WorkerEntry): void {
    const { fleet, log, evacuations, workerSpeeds } = this.#context;
    const worker = fleet.open(entry.id);
    const isNew = !worker.listed;
    const changed = !worker.listed ||
      worker.entry?.draining !== entry.draining;
    // The first list is told as a whole by the line of the takeover.
    if (changed && this.#read) {
      log.info("worker.listed", {
        worker: entry.id,
        address: entry.address,
        draining: entry.draining,
      });
    }
    worker.entry = entry;
    worker.evacuated = evacuations.has(entry.zone);
    worker.listed = true;
    if (isNew) workerSpeeds.meet(worker);
    this.#follow(entry.id);
  }

  #mayBeIncomplete(): boolean {
    if (this.#failedMs === undefined) return false;
    const sinceMs = this.#context.clock.monotonic() - this.#failedMs;
    return sinceMs < LISTING_GRACE_MS;
  }
}
