/**
 * Client of the platform's key-value service, through etcd's v3 JSON gateway.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as t from "io-ts";
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type {
  CommitResult,
  Condition,
  Entry,
  Store,
  Watch,
  WatchListener,
  Write,
} from "../ports/store.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { decodeJson } from "./decoding.ts";
import {
  errorResponseFailure,
  isLeaseNotFound,
  noResponseFailure,
  protocolFailure,
} from "./etcd_failures.ts";
import {
  LeaseGrantResponse,
  LeaseKeepAliveResponse,
  LeaseRevokeResponse,
  prefixRange,
  RangeResponse,
  textToBase64,
  toEntry,
  txnRequest,
  TxnResponse,
} from "./etcd_messages.ts";
import { EtcdWatch } from "./etcd_watch.ts";
import type { CompleteResponse } from "./exchange.ts";

/** Options of an {@linkcode EtcdStore}. */
export interface EtcdStoreOptions {
  /** `host:port` of the gateway. */
  readonly address: string;
  readonly clock: Clock;
  readonly maxConnections?: number;
  readonly connectTimeoutMs?: number;
  /** Milliseconds without progress after which a call fails. */
  readonly timeoutMs?: number;
  /** Milliseconds without a message after which a watch ends. */
  readonly watchIdleTimeoutMs?: number;
  /** Milliseconds after which an idle connection is closed. */
  readonly idleTimeoutMs?: number;
  /** Largest value that the service accepts. */
  readonly maxValueBytes?: number;
  readonly maxResponseBytes?: number;
}

const DEFAULTS = {
  maxConnections: 4,
  connectTimeoutMs: 1000,
  timeoutMs: 2000,
  watchIdleTimeoutMs: 5000,
  idleTimeoutMs: 4000,
  maxValueBytes: 1_000_000,
  maxResponseBytes: 64 * 1024 * 1024,
} as const;

const OK_STATUS = 200;

/** A store on one endpoint of the gateway. */
export class EtcdStore implements Store {
  readonly #options: EtcdStoreOptions & typeof DEFAULTS;
  readonly #pool: ConnectionPool;
  readonly #watches = new Set<Watch>();

  constructor(options: EtcdStoreOptions) {
    this.#options = { ...DEFAULTS, ...options } as
      & EtcdStoreOptions
      & typeof DEFAULTS;
    this.#pool = new ConnectionPool(options.address, {
      clock: options.clock,
      maxConnections: this.#options.maxConnections,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      idleTimeoutMs: this.#options.idleTimeoutMs,
      maxResponseBytes: this.#options.maxResponseBytes,
    });
  }

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    const range = { key: textToBase64(key) };
    return this.#call("/v3/kv/range", range, RangeResponse).map(({ kvs }) => {
      const [kv] = kvs ?? [];
      return kv && toEntry(kv);
    });
  }

  list(prefix: string): ReturnType<Store["list"]> {
    const range = prefixRange(prefix);
    return this.#call("/v3/kv/range", range, RangeResponse).map((response) => ({
      entries: (response.kvs ?? []).map(toEntry),
      revision: response.header.revision,
    }));
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<CommitResult, StoreFailure> {
    const tooLarge = this.#checkValueSizes(writes);
    if (tooLarge !== undefined) return errAsync(tooLarge);
    const request = txnRequest(conditions, writes);
    return this.#call("/v3/kv/txn", request, TxnResponse).map((response) => ({
      type: response.succeeded ? "committed" : "conflict",
      revision: response.header.revision,
    }));
  }

  grant(ttlSeconds: number): ResultAsync<string, StoreFailure> {
    const request = { TTL: String(Math.ceil(ttlSeconds)) };
    return this.#call("/v3/lease/grant", request, LeaseGrantResponse)
      .map(({ ID }) => ID);
  }

  renew(lease: string): ResultAsync<boolean, StoreFailure> {
    return this.#call(
      "/v3/lease/keepalive",
      { ID: lease },
      LeaseKeepAliveResponse,
    )
      .map(({ result }) => result.TTL > 0);
  }

  revoke(lease: string): ResultAsync<void, StoreFailure> {
    return this.#send("/v3/lease/revoke", { ID: lease }).andThen((response) =>
      isLeaseNotFound(response)
        ? ok(undefined)
        : this.#decode(response, LeaseRevokeResponse).map(() => undefined)
    );
  }

  watch(prefix: string, fromRevision: number, watcher: WatchListener): Watch {
    const { watchIdleTimeoutMs, maxResponseBytes } = this.#options;
    const listener = this.#removeWhenEnded(watcher, () => watch);
    const target = { prefix, fromRevision, watcher: listener };
    const watch = new EtcdWatch(target, {
      address: this.#options.address,
      clock: this.#options.clock,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      idleTimeoutMs: watchIdleTimeoutMs,
      maxLineBytes: maxResponseBytes,
      maxValueBytes: this.#options.maxValueBytes,
    });
    this.#watches.add(watch);
    return { close: () => this.#closeWatch(watch) };
  }

  /** Closes all watches and idle connections at once, the other connections when their calls have completed. */
  async close(): Promise<void> {
    for (const watch of this.#watches) this.#closeWatch(watch);
    await this.#pool.close();
  }

  #closeWatch(watch: Watch): void {
    this.#watches.delete(watch);
    watch.close();
  }

  #removeWhenEnded(watcher: WatchListener, watch: () => Watch): WatchListener {
    return {
      changed: (changes) => watcher.changed(changes),
      ended: (failure) => {
        this.#watches.delete(watch());
        watcher.ended(failure);
      },
    };
  }

  #checkValueSizes(writes: readonly Write[]): StoreFailure | undefined {
    const limitBytes = this.#options.maxValueBytes;
    const oversized = writes.find((write) =>
      write.type === "put" && Buffer.byteLength(write.value) > limitBytes
    );
    if (oversized === undefined) return undefined;
    const message = `the value of ${oversized.key} exceeds ${limitBytes} bytes`;
    return { type: "storeValueTooLarge", message, limitBytes };
  }

  #call<A>(
    path: string,
    message: unknown,
    codec: t.Decoder<unknown, A>,
  ): ResultAsync<A, StoreFailure> {
    return this.#send(path, message).andThen((response) =>
      this.#decode(response, codec)
    );
  }

  #send(
    path: string,
    message: unknown,
  ): ResultAsync<CompleteResponse, StoreFailure> {
    const request = {
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(message)),
    };
    return this.#pool.send(request, this.#options.timeoutMs)
      .mapErr(noResponseFailure);
  }

  #decode<A>(
    response: CompleteResponse,
    codec: t.Decoder<unknown, A>,
  ): Result<A, StoreFailure> {
    if (response.status === OK_STATUS) {
      return decodeJson(codec, response.body).mapErr(protocolFailure);
    }
    const { maxValueBytes } = this.#options;
    return err(errorResponseFailure(response, maxValueBytes));
  }
}
