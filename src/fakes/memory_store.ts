/**
 * The platform's key-value service in memory, with its faults on call.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { keyOf, revisionOf, sizeOf } from "./changes.ts";
import type {
  Change,
  Commit,
  Condition,
  Entry,
  Store,
  Watch,
  Watcher,
  Write,
} from "../ports/store.ts";

/** Largest value that the service holds. */
export const VALUE_LIMIT_BYTES = 1_000_000;

interface Row extends Entry {
  readonly lease?: string;
}

interface HeldLease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

interface Listener {
  readonly prefix: string;
  readonly watcher: Watcher;
}

/** Faults that a test can switch on, per client of the service. */
export interface Faults {
  /** Calls fail and watches end. */
  away: boolean;
  /** Milliseconds that every call takes. */
  latencyMs: number;
  /** The next so many writes take effect without an answer. */
  loseAnswers: number;
  /** Further calls allowed before the budget is spent. */
  budget: number;
}

/** The state of the service; each client connects to it with its own faults. */
export class MemoryService {
  readonly clock: Clock;
  revision = 1;
  calls = 0;
  /** Bytes of values read, written and told to watches. */
  bytes = 0;
  readonly rows = new Map<string, Row>();
  readonly #leases = new Map<string, HeldLease>();
  readonly #listeners = new Set<Listener>();
  #log: Change[] = [];
  #leaseCount = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Carries out a transaction at once. */
  apply(conditions: readonly Condition[], writes: readonly Write[]): Commit {
    this.expire();
    const holds = conditions.every((condition) =>
      (this.rows.get(condition.key)?.revision ?? 0) === condition.revision
    );
    if (!holds) return { type: "conflict", revision: this.revision };
    this.#write(writes);
    return { type: "committed", revision: this.revision };
  }

  /** Removes the keys of lapsed leases. */
  expire(): void {
    const now = this.clock.monotonic();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs <= now) this.dropLease(id);
    }
  }

  /** Ends a lease and removes its keys. */
  dropLease(id: string): void {
    this.#leases.delete(id);
    const keys = [...this.rows.values()]
      .filter((row) => row.lease === id)
      .map((row) => row.key);
    if (keys.length === 0) return;
    this.#write(keys.map((key) => ({ type: "delete", key })));
  }

  /** Grants a lease. */
  addLease(ttlMs: number): string {
    const id = `lease-${++this.#leaseCount}`;
    const expiresAtMs = this.clock.monotonic() + ttlMs;
    this.#leases.set(id, { ttlMs, expiresAtMs });
    this.clock.after(ttlMs, () => this.#sweep());
    return id;
  }

  /** Renews a lease; `false` if it has lapsed. */
  extendLease(id: string): boolean {
    this.expire();
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.expiresAtMs = this.clock.monotonic() + lease.ttlMs;
    this.clock.after(lease.ttlMs, () => this.#sweep());
    return true;
  }

  /** Starts a watch; earlier changes from `fromRevision` on come first. */
  addListener(listener: Listener, fromRevision: number): () => void {
    const missed = this.#log.filter((change) =>
      revisionOf(change) >= fromRevision &&
      keyOf(change).startsWith(listener.prefix)
    );
    this.#listeners.add(listener);
    if (missed.length > 0) {
      queueMicrotask(() => listener.watcher.changed(missed));
    }
    return () => this.#listeners.delete(listener);
  }

  #sweep(): void {
    this.expire();
  }

  #write(writes: readonly Write[]): void {
    this.revision++;
    const changes = writes.flatMap((write) => this.#writeOne(write));
    this.#log.push(...changes);
    for (const listener of this.#listeners) {
      const seen = changes.filter((change) =>
        keyOf(change).startsWith(listener.prefix)
      );
      if (seen.length > 0) {
        queueMicrotask(() => listener.watcher.changed(seen));
      }
    }
  }

  #writeOne(write: Write): Change[] {
    switch (write.type) {
      case "put": {
        const { key, value, lease } = write;
        const row = { key, value, revision: this.revision, lease };
        this.rows.set(key, row);
        return [{ type: "put", entry: row }];
      }
      case "delete": {
        if (!this.rows.delete(write.key)) return [];
        return [{ type: "deleted", key: write.key, revision: this.revision }];
      }
    }
  }
}

/** One client's connection to a {@linkcode MemoryService}. */
export class MemoryStore implements Store {
  readonly faults: Faults = {
    away: false,
    latencyMs: 0,
    loseAnswers: 0,
    budget: Infinity,
  };
  readonly #service: MemoryService;
  readonly #watches = new Set<Watcher>();
  #paused = false;
  #held: (() => void)[] = [];

  constructor(service: MemoryService) {
    this.#service = service;
  }

  /** Makes the service unreachable for this client. */
  cut(): void {
    this.faults.away = true;
    for (const watcher of [...this.#watches]) {
      this.#watches.delete(watcher);
      watcher.ended(awayFailure);
    }
  }

  /** Makes the service reachable again. */
  heal(): void {
    this.faults.away = false;
  }

  /** Holds what watches have to tell, as for a process that is paused. */
  pause(): void {
    this.#paused = true;
  }

  /** Tells what was held. */
  resume(): void {
    this.#paused = false;
    const held = this.#held;
    this.#held = [];
    for (const tell of held) tell();
  }

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    return this.#call(() => {
      const row = this.#service.rows.get(key);
      this.#service.bytes += row?.value.length ?? 0;
      return row;
    }, "read");
  }

  list(prefix: string): ReturnType<Store["list"]> {
    return this.#call(() => {
      const entries = [...this.#service.rows.values()]
        .filter((row) => row.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      for (const entry of entries) this.#service.bytes += entry.value.length;
      return { entries, revision: this.#service.revision };
    }, "read");
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<Commit, StoreFailure> {
    const tooLarge = writes.some((write) =>
      write.type === "put" && write.value.length > VALUE_LIMIT_BYTES
    );
    if (tooLarge) {
      return errAsync({
        type: "storeValueTooLarge",
        message: "value exceeds the limit of the service",
        limitBytes: VALUE_LIMIT_BYTES,
      });
    }
    return this.#call(() => {
      for (const write of writes) {
        if (write.type === "put") this.#service.bytes += write.value.length;
      }
      return this.#service.apply(conditions, writes);
    }, "write");
  }

  grant(ttlSeconds: number): ResultAsync<string, StoreFailure> {
    return this.#call(() => this.#service.addLease(ttlSeconds * 1000), "write");
  }

  renew(lease: string): ResultAsync<boolean, StoreFailure> {
    return this.#call(() => this.#service.extendLease(lease), "write");
  }

  revoke(lease: string): ResultAsync<void, StoreFailure> {
    return this.#call(() => this.#service.dropLease(lease), "write");
  }

  watch(prefix: string, fromRevision: number, watcher: Watcher): Watch {
    if (this.faults.away) {
      queueMicrotask(() => watcher.ended(awayFailure));
      return { close: () => {} };
    }
    this.#service.calls++;
    const guarded: Watcher = {
      changed: (changes) => {
        if (!this.#watches.has(guarded)) return;
        this.#service.bytes += sizeOf(changes);
        if (this.#paused) this.#held.push(() => watcher.changed(changes));
        else watcher.changed(changes);
      },
      ended: (failure) => watcher.ended(failure),
    };
    this.#watches.add(guarded);
    const remove = this.#service.addListener(
      { prefix, watcher: guarded },
      fromRevision,
    );
    return {
      close: () => {
        this.#watches.delete(guarded);
        remove();
      },
    };
  }

  #call<T>(
    action: () => T,
    kind: "read" | "write",
  ): ResultAsync<T, StoreFailure> {
    if (this.faults.away) return errAsync(awayFailure);
    if (this.faults.budget-- <= 0) return errAsync(busyFailure);
    this.#service.calls++;
    this.#service.expire();
    const value = action();
    if (kind === "write" && this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      return errAsync(lostFailure);
    }
    if (this.faults.latencyMs === 0) return okAsync(value);
    const waited = sleep(this.#service.clock, this.faults.latencyMs);
    return ResultAsync.fromSafePromise(waited.then(() => value));
  }
}

const awayFailure: StoreFailure = {
  type: "storeUnreachable",
  message: "the key-value service is away",
};

const busyFailure: StoreFailure = {
  type: "storeBusy",
  message: "the call budget is spent",
};

const lostFailure: StoreFailure = {
  type: "storeAnswerLost",
  message: "the answer was lost",
};
