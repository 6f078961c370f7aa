/**
 * The platform's key-value service, as the controllers see it.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";

/** A stored value. */
export interface Entry {
  readonly key: string;
  /** UTF-8 text, at most a megabyte. */
  readonly value: string;
  /** Revision of the service at which the value was last written. */
  readonly revision: number;
}

/** One write of a transaction. */
export type Write =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    /** Ties the key to a lease: it goes when the lease does. */
    readonly lease?: string;
  }
  | { readonly type: "delete"; readonly key: string };

/** A condition of a transaction: the key was last written at `revision`; 0 means that it does not exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}

/** What became of a transaction. */
export type Commit =
  | { readonly type: "committed"; readonly revision: number }
  | {
    readonly type: "conflict";
    readonly revision: number;
    /** The conditions' keys as they are now, where the service tells. */
    readonly entries?: readonly Entry[];
  };

/** A change seen by a watch. */
export type Change =
  | { readonly type: "put"; readonly entry: Entry }
  | {
    readonly type: "deleted";
    readonly key: string;
    readonly revision: number;
  };

/** What a watch tells its listener. */
export interface Watcher {
  /** Changes in order of revision, each at least once. */
  changed(changes: readonly Change[]): void;
  /** The watch has ended; changes may have been missed. The listener reads again and starts anew. */
  ended(failure: StoreFailure): void;
}

/** A running watch. */
export interface Watch {
  close(): void;
}

/** The service. Every call counts against its budget, a running watch as one. */
export interface Store {
  /** Reads one key; `undefined` if it does not exist. */
  get(key: string): ResultAsync<Entry | undefined, StoreFailure>;
  /** Reads every key with the prefix, in key order, and the revision of the service at the read. */
  list(
    prefix: string,
  ): ResultAsync<
    { readonly entries: readonly Entry[]; readonly revision: number },
    StoreFailure
  >;
  /** Carries out all writes if all conditions hold, or none. */
  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<Commit, StoreFailure>;
  /** Grants a lease; gives its id. */
  grant(ttlSeconds: number): ResultAsync<string, StoreFailure>;
  /** Renews a lease; `false` if it has lapsed. */
  renew(lease: string): ResultAsync<boolean, StoreFailure>;
  /** Ends a lease and removes its keys. */
  revoke(lease: string): ResultAsync<void, StoreFailure>;
  /** Watches every key with the prefix from `fromRevision` on. */
  watch(prefix: string, fromRevision: number, watcher: Watcher): Watch;
}
