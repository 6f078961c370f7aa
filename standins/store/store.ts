/**
 * The key-value service: routes, budgets, faults and the record.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  Endpoint,
  pathOf,
  readBody,
  readJson,
  sendJson,
} from "../common/endpoint.ts";
import { Budget } from "./budget.ts";
import { Control, Faults } from "./faults.ts";
import { Leases } from "./leases.ts";
import {
  decode,
  DeleteRequest,
  GatewayError,
  GrantRequest,
  LeaseRequest,
  PutRequest,
  RangeRequest,
  REFUSALS,
  TxnRequest,
  WatchRequest,
} from "./messages.ts";
import { type CallKind, Record } from "./record.ts";
import { State } from "./state.ts";
import {
  header,
  type Message,
  readRange,
  Transactions,
} from "./transactions.ts";
import { Watches } from "./watches.ts";

/** Settings of the service. */
export interface StoreOptions {
  readonly port?: number;
  readonly controlPort?: number;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly maxValueBytes?: number;
  readonly latencyMs?: number;
  /** Time between progress messages of a watch. */
  readonly progressMs?: number;
}

const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_READS_PER_SECOND = 2000;
const DEFAULT_MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_PROGRESS_MS = 1000;
const LEASE_CHECK_MS = 50;

const KINDS: Readonly<{ [path: string]: CallKind }> = {
  "/v3/kv/range": "range",
  "/v3/kv/put": "put",
  "/v3/kv/deleterange": "deleterange",
  "/v3/kv/txn": "txn",
  "/v3/lease/grant": "grant",
  "/v3/lease/keepalive": "keepalive",
  "/v3/lease/revoke": "revoke",
  "/v3/watch": "watch",
};

/** The service in this process. */
export class StandinStore {
  readonly state = new State();
  readonly record = new Record();
  readonly #leases = new Leases();
  readonly #faults: Faults;
  readonly #writes: Budget;
  readonly #reads: Budget;
  readonly #transactions: Transactions;
  readonly #watches: Watches;
  readonly #endpoint: Endpoint;
  readonly #control: Endpoint;
  readonly #leaseCheck: NodeJS.Timeout;

  constructor(options: StoreOptions = {}) {
    this.#faults = new Faults(options.latencyMs ?? 0);
    this.#writes = new Budget(
      options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    );
    this.#reads = new Budget(
      options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
    );
    this.#transactions = new Transactions(this.state, {
      leases: this.#leases,
      maxValueBytes: options.maxValueBytes ?? DEFAULT_MAX_VALUE_BYTES,
    });
    this.#watches = new Watches(this.state, {
      faults: this.#faults,
      progressMs: options.progressMs ?? DEFAULT_PROGRESS_MS,
    });
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
    });
    this.#control = new Endpoint(this.#serveControl.bind(this), {
      port: options.controlPort,
    });
    this.#leaseCheck = setInterval(() => this.#expireLeases(), LEASE_CHECK_MS);
    this.state.subscribe((events) => this.record.wrote(events));
  }

  /** `host:port` of the service. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** `host:port` that answers /control during an outage too. */
  get controlAddress(): string {
    return this.#control.address;
  }

  /** Starts to accept connections. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
    await this.#control.listen();
  }

  /** Stops for good. */
  async close(): Promise<void> {
    clearInterval(this.#leaseCheck);
    await this.#endpoint.close();
    await this.#control.close();
  }

  /** Brings faults about, or ends them; the connection of the caller is kept. */
  async control(control: Control, from?: Socket): Promise<void> {
    this.#faults.set(control);
    if (control.compact !== undefined) this.state.compact(control.compact);
    await this.#endpoint.setOutage(control.outage, from);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = pathOf(request);
    if (path.startsWith("/control")) {
      return this.#serveControl(request, response);
    }
    const body = await readBody(request);
    if (this.#faults.outage !== false) return;
    try {
      await this.#call(path, body, response);
    } catch (error) {
      if (!(error instanceof GatewayError)) throw error;
      const { message, code } = error;
      sendJson(response, error.status, { error: message, code, message });
    }
  }

  async #serveControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      const watching = this.#watches.open;
      return sendJson(response, 200, { ...this.record.report(), watching });
    }
    const control = decode(Control, await readJson(request));
    await this.control(control, request.socket);
    sendJson(response, 200, {});
  }

  async #call(
    path: string,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const kind = KINDS[path];
    if (kind === undefined) throw REFUSALS.notFound();
    this.record.called(kind, body.length);
    const message = parse(body);
    const writes = isWrite(kind, message);
    this.#charge(writes);
    await delay(this.#faults.latencyMs + this.#faults.slowMs);
    if (this.#faults.outage !== false) return;
    if (kind === "watch") {
      const { create_request } = decode(WatchRequest, message);
      return this.#watches.serve(response, create_request);
    }
    const answer = this.#carryOut(kind, message);
    this.#answer(response, answer, writes);
  }

  #charge(writes: boolean): void {
    const budget = writes ? this.#writes : this.#reads;
    if (budget.take()) return;
    this.record.refused();
    throw REFUSALS.tooManyRequests();
  }

  #answer(response: ServerResponse, answer: Message, writes: boolean): void {
    if (writes && this.#faults.loseAnswer()) {
      this.record.answerLost();
      response.destroy();
      return;
    }
    this.record.answered(Buffer.byteLength(JSON.stringify(answer)));
    sendJson(response, 200, answer);
  }

  #carryOut(kind: Exclude<CallKind, "watch">, message: unknown): Message {
    switch (kind) {
      case "range":
        return readRange(this.state, decode(RangeRequest, message));
      case "put":
        return this.#transactions.put(decode(PutRequest, message));
      case "deleterange":
        return this.#transactions.delete(decode(DeleteRequest, message));
      case "txn":
        return this.#transactions.run(decode(TxnRequest, message));
      case "grant":
        return this.#grant(Number(decode(GrantRequest, message).TTL ?? 0));
      case "keepalive":
        return this.#renew(String(decode(LeaseRequest, message).ID));
      case "revoke":
        return this.#revoke(String(decode(LeaseRequest, message).ID));
    }
  }

  #grant(ttlSeconds: number): Message {
    const ID = this.#leases.grant(ttlSeconds);
    return { header: header(this.state), ID, TTL: String(ttlSeconds) };
  }

  #renew(ID: string): Message {
    const ttl = this.#leases.renew(ID);
    const alive = ttl > 0 ? { TTL: String(ttl) } : {};
    return { result: { header: header(this.state), ID, ...alive } };
  }

  #revoke(id: string): Message {
    if (!this.#leases.revoke(id)) throw REFUSALS.leaseNotFound();
    this.#deleteKeysOf(id);
    return { header: header(this.state) };
  }

  #expireLeases(): void {
    if (this.#faults.pauseLeases) return;
    for (const id of this.#leases.expire()) this.#deleteKeysOf(id);
  }

  #deleteKeysOf(lease: string): void {
    const tied = this.state.range("\0", "\0").filter((kv) =>
      kv.lease === lease
    );
    this.state.apply(
      tied.map(({ key }) => ({ type: "delete", key, end: "" })),
    );
  }
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    throw REFUSALS.badRequest();
  }
}

function isWrite(kind: CallKind, message: unknown): boolean {
  switch (kind) {
    case "range":
    case "watch":
      return false;
    case "txn":
      return changes(decode(TxnRequest, message));
    case "put":
    case "deleterange":
    case "grant":
    case "keepalive":
    case "revoke":
      return true;
  }
}

function changes(request: TxnRequest): boolean {
  const operations = [...request.success ?? [], ...request.failure ?? []];
  return operations.some((operation) => !("request_range" in operation));
}
