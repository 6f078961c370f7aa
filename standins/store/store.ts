/**
 * Key-value service with the JSON API of etcd's gateway: routing, rate limits,
 * simulated faults and statistics.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  Endpoint,
  readBody,
  readJson,
  requestPath,
  sendJson,
} from "../common/endpoint.ts";
import { TokenBucket } from "./token_bucket.ts";
import { Control, Faults } from "./faults.ts";
import { Leases } from "./leases.ts";
import {
  decode,
  DeleteRequest,
  ERRORS,
  GatewayError,
  GrantRequest,
  LeaseRequest,
  PutRequest,
  RangeRequest,
  TxnRequest,
  WatchRequest,
} from "./messages.ts";
import { type CallKind, CallRecord } from "./record.ts";
import { State } from "./state.ts";
import {
  encodeHeader,
  type Message,
  readRange,
  Transactions,
} from "./transactions.ts";
import { Watches } from "./watches.ts";

/** Options of the service. */
export interface StoreOptions {
  readonly port?: number;
  readonly controlPort?: number;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly maxValueBytes?: number;
  readonly latencyMs?: number;
  /** Interval between progress messages of a watch, milliseconds. */
  readonly progressMs?: number;
}

const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_READS_PER_SECOND = 2000;
const DEFAULT_MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_PROGRESS_INTERVAL_MS = 1000;
const LEASE_CHECK_INTERVAL_MS = 50;

const CALL_KINDS: Readonly<{ [path: string]: CallKind }> = {
  "/v3/kv/range": "range",
  "/v3/kv/put": "put",
  "/v3/kv/deleterange": "deleterange",
  "/v3/kv/txn": "txn",
  "/v3/lease/grant": "grant",
  "/v3/lease/keepalive": "keepalive",
  "/v3/lease/revoke": "revoke",
  "/v3/watch": "watch",
};

/** Key-value service that runs in this process. */
export class StandinStore {
  readonly state = new State();
  readonly record = new CallRecord();
  readonly #leases = new Leases();
  readonly #faults: Faults;
  readonly #writeBucket: TokenBucket;
  readonly #readBucket: TokenBucket;
  readonly #transactions: Transactions;
  readonly #watches: Watches;
  readonly #endpoint: Endpoint;
  readonly #control: Endpoint;
  readonly #leaseCheck: NodeJS.Timeout;

  constructor(options: StoreOptions = {}) {
    this.#faults = new Faults(options.latencyMs ?? 0);
    this.#writeBucket = new TokenBucket(
      options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    );
    this.#readBucket = new TokenBucket(
      options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
    );
    this.#transactions = new Transactions(this.state, {
      leases: this.#leases,
      maxValueBytes: options.maxValueBytes ?? DEFAULT_MAX_VALUE_BYTES,
    });
    this.#watches = new Watches(this.state, {
      faults: this.#faults,
      progressMs: options.progressMs ?? DEFAULT_PROGRESS_INTERVAL_MS,
    });
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
    });
    this.#control = new Endpoint(this.#serveControl.bind(this), {
      port: options.controlPort,
    });
    this.#leaseCheck = setInterval(
      () => this.#expireLeases(),
      LEASE_CHECK_INTERVAL_MS,
    );
    this.state.subscribe((events) => this.record.recordWrites(events));
  }

  /** Address of the service as `host:port`. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** Address of a second endpoint, `host:port`, that answers /control during an outage too. */
  get controlAddress(): string {
    return this.#control.address;
  }

  /** Starts both endpoints. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
    await this.#control.listen();
  }

  /** Stops the lease check and closes both endpoints and their connections. */
  async close(): Promise<void> {
    clearInterval(this.#leaseCheck);
    await this.#endpoint.close();
    await this.#control.close();
  }

  /** Starts or ends faults; the connection `from` stays open. */
  async control(control: Control, from?: Socket): Promise<void> {
    this.#faults.set(control);
    if (control.compact !== undefined) this.state.compact(control.compact);
    await this.#endpoint.setOutage(control.outage, from);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = requestPath(request);
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
      const watching = this.#watches.openCount;
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
    const kind = CALL_KINDS[path];
    if (kind === undefined) throw ERRORS.notFound();
    this.record.countCall(kind, body.length);
    const message = parse(body);
    const writes = isWrite(kind, message);
    this.#takeToken(writes);
    await delay(this.#faults.latencyMs + this.#faults.slowMs);
    if (this.#faults.outage !== false) return;
    if (kind === "watch") {
      const { create_request } = decode(WatchRequest, message);
      return this.#watches.serve(response, create_request);
    }
    const answer = this.#execute(kind, message);
    this.#respond(response, answer, writes);
  }

  #takeToken(writes: boolean): void {
    const bucket = writes ? this.#writeBucket : this.#readBucket;
    if (bucket.take()) return;
    this.record.countRateLimited();
    throw ERRORS.tooManyRequests();
  }

  #respond(response: ServerResponse, answer: Message, writes: boolean): void {
    if (writes && this.#faults.shouldLoseResponse()) {
      this.record.countLostResponse();
      response.destroy();
      return;
    }
    this.record.countResponseBytes(Buffer.byteLength(JSON.stringify(answer)));
    sendJson(response, 200, answer);
  }

  #execute(kind: Exclude<CallKind, "watch">, message: unknown): Message {
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
    return { header: encodeHeader(this.state), ID, TTL: String(ttlSeconds) };
  }

  #renew(ID: string): Message {
    const ttl = this.#leases.renew(ID);
    const alive = ttl > 0 ? { TTL: String(ttl) } : {};
    return { result: { header: encodeHeader(this.state), ID, ...alive } };
  }

  #revoke(id: string): Message {
    if (!this.#leases.revoke(id)) throw ERRORS.leaseNotFound();
    this.#deleteKeysOfLease(id);
    return { header: encodeHeader(this.state) };
  }

  #expireLeases(): void {
    if (this.#faults.pauseLeases) return;
    for (const id of this.#leases.expire()) this.#deleteKeysOfLease(id);
  }

  #deleteKeysOfLease(lease: string): void {
    const attached = this.state.range("\0", "\0").filter((kv) =>
      kv.lease === lease
    );
    this.state.apply(
      attached.map(({ key }) => ({ type: "delete", key, end: "" })),
    );
  }
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    throw ERRORS.badRequest();
  }
}

function isWrite(kind: CallKind, message: unknown): boolean {
  switch (kind) {
    case "range":
    case "watch":
      return false;
    case "txn":
      return hasWrites(decode(TxnRequest, message));
    case "put":
    case "deleterange":
    case "grant":
    case "keepalive":
    case "revoke":
      return true;
  }
}

function hasWrites(request: TxnRequest): boolean {
  const operations = [...request.success ?? [], ...request.failure ?? []];
  return operations.some((operation) => !("request_range" in operation));
}
