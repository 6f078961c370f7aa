/**
 * HTTP client for the platform's list of workers and instances.
 *
 * @module
 */
import * as t from "io-ts";
import { err, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { ListFailure } from "../errors.ts";
import type { FleetList, FleetSnapshot, ListedWorker } from "../ports/list.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { decodeJson } from "./decoding.ts";
import type { CompleteResponse } from "./exchange.ts";
import { ResourcesMessage } from "./agent_messages.ts";

/** Options of an {@linkcode HttpList}. */
export interface HttpListOptions {
  /** `host:port`. */
  readonly address: string;
  readonly clock: Clock;
  readonly connectTimeoutMs?: number;
  /** Milliseconds without progress after which a read fails. */
  readonly timeoutMs?: number;
  readonly maxResponseBytes?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const IDLE_TIMEOUT_MS = 4000;
const LIST_PATH = "/v1/instances";
const OK_STATUS = 200;

const PresenceMessage = t.keyof({ live: 0, leaving: 0 });

const WorkerMessage = t.type({
  id: t.string,
  address: t.string,
  zone: t.string,
  rack: t.string,
  capacity: ResourcesMessage,
  connections: t.number,
  state: PresenceMessage,
});

const InstanceMessage = t.type({
  peerAddress: t.string,
  state: PresenceMessage,
});

const ListMessage = t.type({
  workers: t.array(WorkerMessage),
  instances: t.array(InstanceMessage),
});

/** Reads the list over a single connection. */
export class HttpList implements FleetList {
  readonly #pool: ConnectionPool;
  readonly #timeoutMs: number;

  constructor(options: HttpListOptions) {
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#pool = new ConnectionPool(options.address, {
      clock: options.clock,
      maxConnections: 1,
      connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxResponseBytes: options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
    });
  }

  read(): ResultAsync<FleetSnapshot, ListFailure> {
    const request = { method: "GET", path: LIST_PATH, headers: {} };
    return this.#pool.send(request, this.#timeoutMs)
      .mapErr(({ message }) => unavailable(message))
      .andThen(decodeListing);
  }

  /** Closes the connection, after the read in flight if there is one. */
  close(): Promise<void> {
    return this.#pool.close();
  }
}

function decodeListing(
  response: CompleteResponse,
): Result<FleetSnapshot, ListFailure> {
  if (response.status !== OK_STATUS) {
    return err(
      unavailable(`the list service responded with status ${response.status}`),
    );
  }
  return decodeJson(ListMessage, response.body)
    .map(toListing)
    .mapErr(({ message }) => unavailable(message));
}

function toListing(message: t.TypeOf<typeof ListMessage>): FleetSnapshot {
  return {
    workers: message.workers.map(toListedWorker),
    instances: message.instances.map(({ peerAddress, state: presence }) => ({
      peerAddress,
      presence,
    })),
  };
}

function toListedWorker(message: t.TypeOf<typeof WorkerMessage>): ListedWorker {
  const { state: presence, ...worker } = message;
  return { worker, presence };
}

function unavailable(message: string): ListFailure {
  return { type: "listUnavailable", message };
}
