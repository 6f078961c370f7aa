/**
 * In-memory fake of the platform's key-value service, with fault injection.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { keyOfChange, revisionOfChange, totalValueLength } from "./changes.ts";
import type {
  Change,
  CommitResult,
  Condition,
  Entry,
  Store,
  Watch,
  WatchListener,
  Write,
} from "../ports/store.ts";

/** Largest size of a value. */
export const VALUE_LIMIT_BYTES = 1_000_000;

interface Row extends Entry {
  readonly lease?: string;
}

interface GrantedLease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

interface Listener {
  readonly prefix: string;
  readonly watcher: WatchListener;
}

/** Faults that a test can inject, separately for each client of the service. */
export interface Faults {
  /** Whether the service is unreachable: calls fail and no watch can start. */
  unreachable: boolean;
  /** Latency of every call, milliseconds. */
  latencyMs: number;
  /** Number of further writes that take effect but whose response is lost. */
  lostReplies: number;
  /** Number of further calls before the call quota is exhausted. */
  remainingCalls: number;
}

/** State of the service, shared by its clients. */
export class MemoryService {
  readonly clock: Clock;
  revision = 1;
  /** Number of calls, including started watches. */
  calls = 0;
  /** Total length of the values read, written and delivered to watches. */
  bytes = 0;
  readonly rows = new Map<string, Row>();
  readonly #leases = new Map<string, GrantedLease>();
  readonly #listeners = new Set<Listener>();
  #history: Change[] = [];
  #leaseCount = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Executes a transaction. */
  apply(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): CommitResult {
    this.expire();
    const satisfied = conditions.every((condition) =>
      (this.rows.get(condition.key)?.revision ?? 0) === condition.revision
    );
    if (!satisfied) return { type: "conflict", revision: this.revision };
    this.#write(writes);
    return { type: "committed", revision: this.revision };
  }

  /** Removes expired leases and their keys. */
  expire(): void {
    const now = this.clock.monotonic();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs <= now) this.dropLease(id);
    }
  }

  /** Revokes a lease and removes its keys. */
  dropLease(id: string): void {
    this.#leases.delete(id);
    const keys = [...this.rows.values()]
      .filter((row) => row.lease === id)
      .map((row) => row.key);
    if (keys.length === 0) return;
    this.#write(keys.map((key) => ({ type: "delete", key })));
  }

  /** Grants a lease and returns its ID. */
  addLease(ttlMs: number): string {
    const id = `lease-${++this.#leaseCount}`;
    const expiresAtMs = this.clock.monotonic() + ttlMs;
    this.#leases.set(id, { ttlMs, expiresAtMs });
    this.clock.after(ttlMs, () => this.#removeExpired());
    return id;
  }

  /** Renews a lease; `false` if it has expired. */
  extendLease(id: string): boolean {
    this.expire();
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.expiresAtMs = this.clock.monotonic() + lease.ttlMs;
    this.clock.after(lease.ttlMs, () => this.#removeExpired());
    return true;
  }

  /** Starts a watch, first with the past changes since `fromRevision`. Returns a function that ends the watch. */
  addListener(listener: Listener, fromRevision: number): () => void {
    const pastChanges = this.#history.filter((change) =>
      revisionOfChange(change) >= fromRevision &&
      keyOfChange(change).startsWith(listener.prefix)
    );
    this.#listeners.add(listener);
    if (pastChanges.length > 0) {
      queueMicrotask(() => listener.watcher.changed(pastChanges));
    }
    return () => this.#listeners.delete(listener);
  }

  #removeExpired(): void {
    this.expire();
  }

  #write(writes: readonly Write[]): void {
    this.revision++;
    const changes = writes.flatMap((write) => this.#writeOne(write));
    this.#history.push(...changes);
    for (const listener of this.#listeners) {
      const seen = changes.filter((change) =>
        keyOfChange(change).startsWith(listener.prefix)
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

/** A client of a {@linkcode MemoryService}. */
export class MemoryStore implements Store {
  readonly faults: Faults = {
    unreachable: false,
    latencyMs: 0,
    lostReplies: 0,
    remainingCalls: Infinity,
  };
  readonly #service: MemoryService;
  readonly #watches = new Set<WatchListener>();
  #paused = false;
  #buffered: (() => void)[] = [];

  constructor(service: MemoryService) {
    this.#service = service;
  }

  /** Makes the service unreachable for this client and ends its watches. */
  cut(): void {
    this.faults.unreachable = true;
    for (const watcher of [...this.#watches]) {
      this.#watches.delete(watcher);
      watcher.ended(unreachableFailure);
    }
  }

  /** Makes the service reachable again. */
  heal(): void {
    this.faults.unreachable = false;
  }

  /** Buffers the changes of watches, as happens to a paused process. */
  pause(): void {
    this.#paused = true;
  }

  /** Delivers the buffered changes and stops buffering. */
  resume(): void {
    this.#paused = false;
    const buffered = this.#buffered;
    this.#buffered = [];
    for (const deliver of buffered) deliver();
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
  ): ResultAsync<CommitResult, StoreFailure> {
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

  watch(prefix: string, fromRevision: number, watcher: WatchListener): Watch {
    if (this.faults.unreachable) {
      queueMicrotask(() => watcher.ended(unreachableFailure));
      return { close: () => {} };
    }
    this.#service.calls++;
    const guarded: WatchListener = {
      changed: (changes) => {
        if (!this.#watches.has(guarded)) return;
        this.#service.bytes += totalValueLength(changes);
        if (this.#paused) this.#buffered.push(() => watcher.changed(changes));
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
    if (this.faults.unreachable) return errAsync(unreachableFailure);
    if (this.faults.remainingCalls-- <= 0) return errAsync(quotaFailure);
    this.#service.calls++;
    this.#service.expire();
    const value = action();
    if (kind === "write" && this.faults.lostReplies > 0) {
      this.faults.lostReplies--;
      return errAsync(responseLostFailure);
    }
    if (this.faults.latencyMs === 0) return okAsync(value);
    const waited = sleep(this.#service.clock, this.faults.latencyMs);
    return ResultAsync.fromSafePromise(waited.then(() => value));
  }
}

const unreachableFailure: StoreFailure = {
  type: "storeUnreachable",
  message: "the key-value service is unreachable",
};

const quotaFailure: StoreFailure = {
  type: "storeBusy",
  message: "the call quota is exhausted",
};

const responseLostFailure: StoreFailure = {
  type: "storeAnswerLost",
  message: "the response was lost",
};
