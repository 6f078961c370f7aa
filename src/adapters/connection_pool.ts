/**
 * Connection pool for one address. When a connection times out without
 * progress, it is closed, and no other connection that was open at that time
 * is reused.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { Client } from "undici";
import type { Clock } from "../clock.ts";
import {
  type CompleteResponse,
  exchange,
  type ExchangeFailure,
  type ExchangeRequest,
} from "./exchange.ts";

/** Options of a {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  readonly clock: Clock;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /** Time in milliseconds after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
  readonly maxResponseBytes: number;
}

/** Idle time before the operating system sends the first TCP keep-alive probe. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;

type ConnectionWaiter = (client: Client | undefined) => void;

/**
 * Pool of HTTP connections to one address. Each connection carries one request
 * at a time. When all are in use, requests wait for one in order of arrival.
 */
export class ConnectionPool {
  readonly #address: string;
  readonly #options: ConnectionPoolOptions;
  readonly #waiters: ConnectionWaiter[] = [];
  readonly #inUse = new Set<Client>();
  #reusable = new Set<Client>();
  #idle: Client[] = [];
  #lastUsedMs: number;

  constructor(address: string, options: ConnectionPoolOptions) {
    this.#address = address;
    this.#options = options;
    this.#lastUsedMs = options.clock.monotonic();
  }

  /** Milliseconds since the last request was started; 0 while one is in flight. */
  get idleMs(): number {
    if (this.#inUse.size > 0) return 0;
    return this.#options.clock.monotonic() - this.#lastUsedMs;
  }

  /**
   * Sends a request at most once, on a connection that no other request uses
   * meanwhile. `timeoutMs` limits the wait for a connection and then each
   * period without progress. Fails with `notSent` if no connection becomes
   * free in time, or if the pool is closed during the wait.
   */
  send(
    request: ExchangeRequest,
    timeoutMs: number,
  ): ResultAsync<CompleteResponse, ExchangeFailure> {
    return this.#acquire(timeoutMs).andThen((client) =>
      this.#sendOver(client, request, timeoutMs)
    );
  }

  /**
   * Closes idle connections at once, and the others when their requests have
   * completed. Requests that wait for a connection fail with `notSent`.
   */
  async close(): Promise<void> {
    for (const waiter of this.#waiters.splice(0)) waiter(undefined);
    const open = [...this.#idle, ...this.#inUse];
    this.#idle = [];
    this.#reusable.clear();
    await Promise.all(open.map((client) => client.close().catch(() => {})));
  }

  #sendOver(
    client: Client,
    request: ExchangeRequest,
    timeoutMs: number,
  ): ResultAsync<CompleteResponse, ExchangeFailure> {
    const { clock, maxResponseBytes } = this.#options;
    const options = { clock, timeoutMs, maxResponseBytes };
    const exchanged = new ResultAsync(exchange(client, request, options));
    return exchanged
      .map((response) => {
        this.#release(client);
        return response;
      })
      .mapErr((failure) => {
        if (failure.type === "silent") this.#retireAll();
        this.#discard(client);
        return failure;
      });
  }

  #acquire(timeoutMs: number): ResultAsync<Client, ExchangeFailure> {
    const client = this.#takeIdleOrOpen();
    if (client !== undefined) return okAsync(client);
    return ResultAsync.fromSafePromise(this.#waitForConnection(timeoutMs))
      .andThen(
        (waited) =>
          waited === undefined ? errAsync(NO_CONNECTION) : okAsync(waited),
      );
  }

  #takeIdleOrOpen(): Client | undefined {
    const idle = this.#idle.pop();
    if (idle !== undefined) return this.#markInUse(idle);
    if (this.#inUse.size >= this.#options.maxConnections) return undefined;
    return this.#markInUse(this.#openConnection());
  }

  #waitForConnection(timeoutMs: number): Promise<Client | undefined> {
    return new Promise((resolve) => {
      const waiter: ConnectionWaiter = (client) => {
        timer.cancel();
        resolve(client);
      };
      const timer = this.#options.clock.after(timeoutMs, () => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(undefined);
      });
      this.#waiters.push(waiter);
    });
  }

  #openConnection(): Client {
    const { connectTimeoutMs, idleTimeoutMs } = this.#options;
    const client = new Client(`http://${this.#address}`, {
      pipelining: 1,
      connectTimeout: connectTimeoutMs,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      connect: {
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
      },
    });
    this.#reusable.add(client);
    return client;
  }

  #markInUse(client: Client): Client {
    this.#inUse.add(client);
    this.#lastUsedMs = this.#options.clock.monotonic();
    return client;
  }

  #release(client: Client): void {
    if (!this.#reusable.has(client)) return this.#discard(client);
    this.#inUse.delete(client);
    this.#idle.push(client);
    this.#serveNextWaiter();
  }

  #discard(client: Client): void {
    this.#inUse.delete(client);
    this.#reusable.delete(client);
    destroy(client);
    this.#serveNextWaiter();
  }

  #retireAll(): void {
    for (const client of this.#idle) destroy(client);
    this.#idle = [];
    this.#reusable = new Set();
  }

  #serveNextWaiter(): void {
    const waiter = this.#waiters.shift();
    if (waiter === undefined) return;
    const client = this.#takeIdleOrOpen();
    if (client === undefined) this.#waiters.unshift(waiter);
    else waiter(client);
  }
}

const NO_CONNECTION: ExchangeFailure = {
  type: "notSent",
  message: "no connection became available",
};

function destroy(client: Client): void {
  client.destroy().catch(() => {});
}
