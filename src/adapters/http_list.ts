/**
 * The platform's list of instances over HTTP.
 *
 * @module
 */
import * as t from "io-ts";
import { err, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { ListFailure } from "../errors.ts";
import type { List, ListedWorker, Listing } from "../ports/list.ts";
import { Connections } from "./connections.ts";
import { decodeJson } from "./decoding.ts";
import type { WholeAnswer } from "./exchange.ts";
import { ResourcesMessage } from "./agent_messages.ts";

/** Settings of the adapter. */
export interface HttpListOptions {
  /** `host:port`. */
  readonly address: string;
  readonly clock: Clock;
  readonly connectTimeoutMs?: number;
  /** Time without progress after which a reading is given up. */
  readonly timeoutMs?: number;
  readonly maxAnswerBytes?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024;
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

/** Access to the list from one process. */
export class HttpList implements List {
  readonly #connections: Connections;
  readonly #timeoutMs: number;

  constructor(options: HttpListOptions) {
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#connections = new Connections(options.address, {
      clock: options.clock,
      limit: 1,
      connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxAnswerBytes: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
    });
  }

  read(): ResultAsync<Listing, ListFailure> {
    const request = { method: "GET", path: LIST_PATH, headers: {} };
    return this.#connections.send(request, this.#timeoutMs)
      .mapErr(({ message }) => unavailable(message))
      .andThen(decodeListing);
  }

  /** Closes the connection as soon as its reading is done. */
  close(): Promise<void> {
    return this.#connections.close();
  }
}

function decodeListing(answer: WholeAnswer): Result<Listing, ListFailure> {
  if (answer.status !== OK_STATUS) {
    return err(unavailable(`the list answered with status ${answer.status}`));
  }
  return decodeJson(ListMessage, answer.body)
    .map(listingOf)
    .mapErr(({ message }) => unavailable(message));
}

function listingOf(message: t.TypeOf<typeof ListMessage>): Listing {
  return {
    workers: message.workers.map(listedWorker),
    instances: message.instances.map(({ peerAddress, state: presence }) => ({
      peerAddress,
      presence,
    })),
  };
}

function listedWorker(message: t.TypeOf<typeof WorkerMessage>): ListedWorker {
  const { state: presence, ...worker } = message;
  return { worker, presence };
}

function unavailable(message: string): ListFailure {
  return { type: "listUnavailable", message };
}
