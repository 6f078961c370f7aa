/**
 * Interface to the platform's key-value store with transactions, leases and
 * watches.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";

/** A key with its value. */
export interface Entry {
  readonly key: string;
  /** UTF-8 text of at most one megabyte. */
  readonly value: string;
  /** Store revision of the last write to the key. */
  readonly revision: number;
}

/** One write of a transaction. */
export type Write =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    /** Id of a lease. The key is deleted when the lease expires or is revoked. */
    readonly lease?: string;
  }
  | { readonly type: "delete"; readonly key: string };

/** A condition of a transaction: `revision` is that of the last write to the key, or 0 if the key does not exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}

/** Result of a transaction. */
export type CommitResult =
  | { readonly type: "committed"; readonly revision: number }
  | {
    readonly type: "conflict";
    readonly revision: number;
    /** Current entries of the keys in the conditions, if the store returns them. */
    readonly entries?: readonly Entry[];
  };

/** A change reported by a watch. */
export type Change =
  | { readonly type: "put"; readonly entry: Entry }
  | {
    readonly type: "deleted";
    readonly key: string;
    readonly revision: number;
  };

/** Receives the events of a watch. */
export interface WatchListener {
  /** Called with changes in order of revision, each delivered at least once. */
  changed(changes: readonly Change[]): void;
  /**
   * Called when the watch has ended. Changes may have been missed, so the receiver
   * has to read the keys again and start a new watch.
   */
  ended(failure: StoreFailure): void;
}

/** An active watch. */
export interface Watch {
  close(): void;
}

/** The store. Each call counts against its request quota; an active watch counts as one call. */
export interface Store {
  /** Reads one key; `undefined` if it does not exist. */
  get(key: string): ResultAsync<Entry | undefined, StoreFailure>;
  /** Reads all keys with the prefix, in key order, and the store revision of the read. */
  list(
    prefix: string,
  ): ResultAsync<
    { readonly entries: readonly Entry[]; readonly revision: number },
    StoreFailure
  >;
  /** Runs a transaction: applies all writes if all conditions hold, otherwise none. */
  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<CommitResult, StoreFailure>;
  /** Creates a lease and returns its id. */
  grant(ttlSeconds: number): ResultAsync<string, StoreFailure>;
  /** Renews a lease; `false` if it has expired. */
  renew(lease: string): ResultAsync<boolean, StoreFailure>;
  /** Revokes a lease and deletes its keys. */
  revoke(lease: string): ResultAsync<void, StoreFailure>;
  /** Watches all keys with the prefix for changes from `fromRevision` on. */
  watch(prefix: string, fromRevision: number, watcher: WatchListener): Watch;
}
