/**
 * The platform's key-value service over etcd's v3 JSON gateway.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type * as t from "io-ts";
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type {
  Commit,
  Condition,
  Entry,
  Store,
  Watch,
  Watcher,
  Write,
} from "../ports/store.ts";
import { Connections } from "./connections.ts";
import { decodeJson } from "./decoding.ts";
import {
  isNotFound,
  protocolFailure,
  refusalFailure,
  unansweredFailure,
} from "./etcd_failures.ts";
import {
  encodeText,
  entryOf,
  GrantAnswer,
  KeepAliveAnswer,
  prefixRange,
  RangeAnswer,
  RevokeAnswer,
  TxnAnswer,
  txnRequest,
} from "./etcd_messages.ts";
import { EtcdWatch } from "./etcd_watch.ts";
import type { WholeAnswer } from "./exchange.ts";

/** Settings of the adapter. */
export interface EtcdStoreOptions {
  /** `host:port` of the gateway. */
  readonly address: string;
  readonly clock: Clock;
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
  /** Time without progress after which a call is given up. */
  readonly timeoutMs?: number;
  /** Time without a message after which a watch ends. */
  readonly watchIdleTimeoutMs?: number;
  /** Time after which an unused connection is closed. */
  readonly idleTimeoutMs?: number;
  /** Largest value that the service holds. */
  readonly valueLimitBytes?: number;
  readonly maxAnswerBytes?: number;
}

const DEFAULTS = {
  connections: 4,
  connectTimeoutMs: 1000,
  timeoutMs: 2000,
  watchIdleTimeoutMs: 5000,
  idleTimeoutMs: 4000,
  valueLimitBytes: 1_000_000,
  maxAnswerBytes: 64 * 1024 * 1024,
} as const;

const OK_STATUS = 200;

/** Access to the service from one process. */
export class EtcdStore implements Store {
  readonly #options: EtcdStoreOptions & typeof DEFAULTS;
  readonly #connections: Connections;
  readonly #watches = new Set<Watch>();

  constructor(options: EtcdStoreOptions) {
    this.#options = { ...DEFAULTS, ...options } as
      & EtcdStoreOptions
      & typeof DEFAULTS;
    this.#connections = new Connections(options.address, {
      clock: options.clock,
      limit: this.#options.connections,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      idleTimeoutMs: this.#options.idleTimeoutMs,
      maxAnswerBytes: this.#options.maxAnswerBytes,
    });
  }

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    const range = { key: encodeText(key) };
    return this.#call("/v3/kv/range", range, RangeAnswer).map(({ kvs }) => {
      const [kv] = kvs ?? [];
      return kv && entryOf(kv);
    });
  }

  list(prefix: string): ReturnType<Store["list"]> {
    const range = prefixRange(prefix);
    return this.#call("/v3/kv/range", range, RangeAnswer).map((answer) => ({
      entries: (answer.kvs ?? []).map(entryOf),
      revision: answer.header.revision,
    }));
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<Commit, StoreFailure> {
    const tooLarge = this.#tooLarge(writes);
    if (tooLarge !== undefined) return errAsync(tooLarge);
    const request = txnRequest(conditions, writes);
    return this.#call("/v3/kv/txn", request, TxnAnswer).map((answer) => ({
      type: answer.succeeded ? "committed" : "conflict",
      revision: answer.header.revision,
    }));
  }

  grant(ttlSeconds: number): ResultAsync<string, StoreFailure> {
    const request = { TTL: String(Math.ceil(ttlSeconds)) };
    return this.#call("/v3/lease/grant", request, GrantAnswer)
      .map(({ ID }) => ID);
  }

  renew(lease: string): ResultAsync<boolean, StoreFailure> {
    return this.#call("/v3/lease/keepalive", { ID: lease }, KeepAliveAnswer)
      .map(({ result }) => result.TTL > 0);
  }

  revoke(lease: string): ResultAsync<void, StoreFailure> {
    return this.#send("/v3/lease/revoke", { ID: lease }).andThen((answer) =>
      isNotFound(answer)
        ? ok(undefined)
        : this.#decode(answer, RevokeAnswer).map(() => undefined)
    );
  }

  watch(prefix: string, fromRevision: number, watcher: Watcher): Watch {
    const { watchIdleTimeoutMs, maxAnswerBytes } = this.#options;
    const forgetting = this.#forgetting(watcher, () => watch);
    const target = { prefix, fromRevision, watcher: forgetting };
    const watch = new EtcdWatch(target, {
      address: this.#options.address,
      clock: this.#options.clock,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      idleTimeoutMs: watchIdleTimeoutMs,
      maxLineBytes: maxAnswerBytes,
      valueLimitBytes: this.#options.valueLimitBytes,
    });
    this.#watches.add(watch);
    return { close: () => this.#closeWatch(watch) };
  }

  /** Ends all watches, and connections as soon as their calls are answered. */
  async close(): Promise<void> {
    for (const watch of this.#watches) this.#closeWatch(watch);
    await this.#connections.close();
  }

  #closeWatch(watch: Watch): void {
    this.#watches.delete(watch);
    watch.close();
  }

  #forgetting(watcher: Watcher, watch: () => Watch): Watcher {
    return {
      changed: (changes) => watcher.changed(changes),
      ended: (failure) => {
        this.#watches.delete(watch());
        watcher.ended(failure);
      },
    };
  }

  #tooLarge(writes: readonly Write[]): StoreFailure | undefined {
    const limitBytes = this.#options.valueLimitBytes;
    const largest = writes.find((write) =>
      write.type === "put" && Buffer.byteLength(write.value) > limitBytes
    );
    if (largest === undefined) return undefined;
    const message = `the value of ${largest.key} exceeds ${limitBytes} bytes`;
    return { type: "storeValueTooLarge", message, limitBytes };
  }

  #call<A>(
    path: string,
    message: unknown,
    codec: t.Decoder<unknown, A>,
  ): ResultAsync<A, StoreFailure> {
    return this.#send(path, message).andThen((answer) =>
      this.#decode(answer, codec)
    );
  }

  #send(
    path: string,
    message: unknown,
  ): ResultAsync<WholeAnswer, StoreFailure> {
    const request = {
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify(message)),
    };
    return this.#connections.send(request, this.#options.timeoutMs)
      .mapErr(unansweredFailure);
  }

  #decode<A>(
    answer: WholeAnswer,
    codec: t.Decoder<unknown, A>,
  ): Result<A, StoreFailure> {
    if (answer.status === OK_STATUS) {
      return decodeJson(codec, answer.body).mapErr(protocolFailure);
    }
    const { valueLimitBytes } = this.#options;
    return err(refusalFailure(answer, valueLimitBytes));
  }
}
