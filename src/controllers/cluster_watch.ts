/**
 * Keeps a {@linkcode ClusterView} up to date: a reading, two watches, and
 * further readings in case a watch has gone silent.
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

/** What a {@linkcode ClusterWatch} works with. */
export interface ClusterWatchOptions {
  readonly store: Store;
  readonly view: ClusterView;
  readonly clock: Clock;
  readonly timing: Timing;
}

/** Follows the member keys and the map. */
export class ClusterWatch {
  readonly #options: ClusterWatchOptions;
  #watches: Watch[] = [];
  #watching = false;
  #busy = false;
  #membersReadMs = -Infinity;
  #mapReadMs = -Infinity;

  constructor(options: ClusterWatchOptions) {
    this.#options = options;
  }

  /** Whether the watches run, as far as is known. */
  get watching(): boolean {
    return this.#watching;
  }

  /** Reads what is due and starts watches that have ended. */
  async refresh(): Promise<Result<void, StoreFailure>> {
    if (this.#busy) return ok(undefined);
    this.#busy = true;
    const outcome = await this.#read();
    this.#busy = false;
    return outcome;
  }

  /** Reads the map now. */
  async readMap(): Promise<Result<void, StoreFailure>> {
    const { store, view, clock } = this.#options;
    const entry = await store.get(OWNERSHIP_KEY);
    if (entry.isErr()) return entry.map(() => undefined);
    this.#mapReadMs = clock.monotonic();
    view.readMap(entry.value);
    return ok(undefined);
  }

  close(): void {
    for (const watch of this.#watches) watch.close();
    this.#watches = [];
    this.#watching = false;
  }

  async #read(): Promise<Result<void, StoreFailure>> {
    const { store, view, clock, timing } = this.#options;
    const now = clock.monotonic();
    const fresh = !this.#watching;
    const membersDue = fresh ||
      now - this.#membersReadMs >= timing.rereadMembersMs;
    const mapDue = fresh || now - this.#mapReadMs >= timing.rereadMapMs;
    const { readMap, watch } = this.#steps();
    const mark = () => this.#membersReadMs = now;
    return await safeTry<void, StoreFailure>(async function* () {
      if (membersDue) {
        const { entries, revision } = yield* store.list(MEMBERS_PREFIX);
        mark();
        view.readMembers(entries, revision);
        if (fresh) watch(revision + 1);
      }
      if (mapDue) yield* await readMap();
      return ok(undefined);
    });
  }

  #steps() {
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
      changed: view.apply.bind(view),
      ended: () => this.close(),
    };
    this.#watches = [MEMBERS_PREFIX, OWNERSHIP_KEY].map((prefix) =>
      store.watch(prefix, fromRevision, watcher)
    );
  }
}
