/**
 * A bounded number of connections to one address. A connection that has gone
 * silent is never used again, nor are those that were open at that time.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { Client } from "undici";
import type { Clock } from "../clock.ts";
import {
  exchange,
  type ExchangeFailure,
  type ExchangeRequest,
  type WholeAnswer,
} from "./exchange.ts";

/** Settings of the connections to one address. */
export interface ConnectionsOptions {
  readonly clock: Clock;
  /** Most connections open at once. */
  readonly limit: number;
  readonly connectTimeoutMs: number;
  /** Time after which an unused connection is closed. */
  readonly idleTimeoutMs: number;
  readonly maxAnswerBytes: number;
}

/** Unanswered TCP keep-alive probes begin after this time. */
const TCP_PROBE_DELAY_MS = 1000;

type Waiter = (client: Client | undefined) => void;

/** Connections to one address. */
export class Connections {
  readonly #address: string;
  readonly #options: ConnectionsOptions;
  readonly #waiters: Waiter[] = [];
  readonly #busy = new Set<Client>();
  #fresh = new Set<Client>();
  #free: Client[] = [];
  #usedAt: number;

  constructor(address: string, options: ConnectionsOptions) {
    this.#address = address;
    this.#options = options;
    this.#usedAt = options.clock.monotonic();
  }

  /** Time since the last request, or 0 while there is one. */
  get unusedMs(): number {
    if (this.#busy.size > 0) return 0;
    return this.#options.clock.monotonic() - this.#usedAt;
  }

  /** Sends a request once over a connection of its own. */
  send(
    request: ExchangeRequest,
    timeoutMs: number,
  ): ResultAsync<WholeAnswer, ExchangeFailure> {
    return this.#acquire(timeoutMs).andThen((client) =>
      this.#sendOver(client, request, timeoutMs)
    );
  }

  /** Closes connections as soon as their requests are answered. */
  async close(): Promise<void> {
    for (const waiter of this.#waiters.splice(0)) waiter(undefined);
    const open = [...this.#free, ...this.#busy];
    this.#free = [];
    this.#fresh.clear();
    await Promise.all(open.map((client) => client.close().catch(() => {})));
  }

  #sendOver(
    client: Client,
    request: ExchangeRequest,
    timeoutMs: number,
  ): ResultAsync<WholeAnswer, ExchangeFailure> {
    const { clock, maxAnswerBytes } = this.#options;
    const bounds = { clock, timeoutMs, maxAnswerBytes };
    const outcome = new ResultAsync(exchange(client, request, bounds));
    return outcome
      .map((answer) => {
        this.#release(client);
        return answer;
      })
      .mapErr((failure) => {
        if (failure.type === "silent") this.#retireAll();
        this.#discard(client);
        return failure;
      });
  }

  #acquire(timeoutMs: number): ResultAsync<Client, ExchangeFailure> {
    const client = this.#take();
    if (client !== undefined) return okAsync(client);
    return ResultAsync.fromSafePromise(this.#wait(timeoutMs)).andThen(
      (waited) =>
        waited === undefined ? errAsync(NO_CONNECTION) : okAsync(waited),
    );
  }

  #take(): Client | undefined {
    const free = this.#free.pop();
    if (free !== undefined) return this.#occupy(free);
    if (this.#busy.size >= this.#options.limit) return undefined;
    return this.#occupy(this.#open());
  }

  #wait(timeoutMs: number): Promise<Client | undefined> {
    return new Promise((resolve) => {
      const waiter: Waiter = (client) => {
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

  #open(): Client {
    const { connectTimeoutMs, idleTimeoutMs } = this.#options;
    const client = new Client(`http://${this.#address}`, {
      pipelining: 1,
      connectTimeout: connectTimeoutMs,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      connect: { keepAlive: true, keepAliveInitialDelay: TCP_PROBE_DELAY_MS },
    });
    this.#fresh.add(client);
    return client;
  }

  #occupy(client: Client): Client {
    this.#busy.add(client);
    this.#usedAt = this.#options.clock.monotonic();
    return client;
  }

  #release(client: Client): void {
    if (!this.#fresh.has(client)) return this.#discard(client);
    this.#busy.delete(client);
    this.#free.push(client);
    this.#serveWaiter();
  }

  #discard(client: Client): void {
    this.#busy.delete(client);
    this.#fresh.delete(client);
    destroy(client);
    this.#serveWaiter();
  }

  #retireAll(): void {
    for (const client of this.#free) destroy(client);
    this.#free = [];
    this.#fresh = new Set();
  }

  #serveWaiter(): void {
    const waiter = this.#waiters.shift();
    if (waiter === undefined) return;
    const client = this.#take();
    if (client === undefined) this.#waiters.unshift(waiter);
    else waiter(client);
  }
}

const NO_CONNECTION: ExchangeFailure = {
  type: "notSent",
  message: "no connection came free in time",
};

function destroy(client: Client): void {
  client.destroy().catch(() => {});
}
