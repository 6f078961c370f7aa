/**
 * Keeps a {@linkcode ClusterView} up to date: an initial read, two watches, and
 * periodic reads in case a watch stops delivering changes without an error.
 *
 * @module
 */
import { ok, type Result, safeTry } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Store, Watch } from "../ports/store.ts";
import { MEMBERS_PREFIX, OWNERSHIP_KEY } from "./cluster_protocol.ts";
import type { ClusterView } from "./cluster_view.ts";
import type { Timing } from "./timing.ts";

/** Dependencies of a {@linkcode ClusterWatch}. */
export interface ClusterWatchOptions {
  readonly store: Store;
  readonly view: ClusterView;
  readonly clock: Clock;
  readonly timing: Timing;
}

/** Follows the member keys and the ownership map in the store. */
export class ClusterWatch {
  readonly #options: ClusterWatchOptions;
  #watches: Watch[] = [];
  #watching = false;
  #refreshing = false;
  #membersReadMs = -Infinity;
  #mapReadMs = -Infinity;

  constructor(options: ClusterWatchOptions) {
    this.#options = options;
  }

  /** Whether the watches run. Becomes false when a watch reports its end. */
  get watching(): boolean {
    return this.#watching;
  }

  /** Reads the keys whose read is due and restarts watches that have ended. */
  async refresh(): Promise<Result<void, StoreFailure>> {
    if (this.#refreshing) return ok(undefined);
    this.#refreshing = true;
    const outcome = await this.#readDue();
    this.#refreshing = false;
    return outcome;
  }

  /** Reads the ownership map now. */
  async readMap(): Promise<Result<void, StoreFailure>> {
    const { store, view, clock } = this.#options;
    const entry = await store.get(OWNERSHIP_KEY);
    if (entry.isErr()) return entry.map(() => undefined);
    this.#mapReadMs = clock.monotonic();
    view.applyMap(entry.value);
    return ok(undefined);
  }

  close(): void {
    for (const watch of this.#watches) watch.close();
    this.#watches = [];
    this.#watching = false;
  }

  async #readDue(): Promise<Result<void, StoreFailure>> {
    const { store, view, clock, timing } = this.#options;
    const nowMs = clock.monotonic();
    const startWatches = !this.#watching;
    const membersDue = startWatches ||
      nowMs - this.#membersReadMs >= timing.membersReadIntervalMs;
    const mapDue = startWatches ||
      nowMs - this.#mapReadMs >= timing.mapReadIntervalMs;
    const { readMap, watch } = this.#boundSteps();
    const recordMembersRead = () => this.#membersReadMs = nowMs;
    return await safeTry<void, StoreFailure>(async function* () {
      if (membersDue) {
        const { entries, revision } = yield* store.list(MEMBERS_PREFIX);
        recordMembersRead();
        view.applyMembers(entries, revision);
        if (startWatches) watch(revision + 1);
      }
      if (mapDue) yield* await readMap();
      return ok(undefined);
    });
  }

  #boundSteps() {
    return {
      readMap: () => this.readMap(),
      watch: (fromRevision: number) => this.#watch(fromRevision),
    };
  }

  #watch(fromRevision: number): void {
    const { store, view } = this.#options;
    this.close();
    this.#watching = true;
    const watcher = {
      changed: view.applyChanges.bind(view),
      ended: () => this.close(),
    };
    this.#watches = [MEMBERS_PREFIX, OWNERSHIP_KEY].map((prefix) =>
      store.watch(prefix, fromRevision, watcher)
    );
  }
}
