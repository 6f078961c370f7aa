/**
 * In-memory network between instances, with injected partitions, latency and
 * crashes.
 *
 * @module
 */
import { errAsync, ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Peers, RpcMethod, RpcNotification } from "../ports/peers.ts";

type Handler = (params: unknown, from: string) => unknown;

/** A network that delivers the messages of all instances of a test. */
export class MemoryNetwork {
  readonly clock: Clock;
  /** One-way latency of every message, milliseconds. */
  latencyMs = 0;
  /** Number of messages sent. */
  messages = 0;
  /** Size of these messages: method names and JSON contents, characters. */
  bytes = 0;
  readonly #nodes = new Map<string, MemoryPeers>();
  readonly #cuts = new Set<string>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Adds a message to the counters. */
  count(method: string, content: unknown): void {
    this.messages++;
    this.bytes += method.length + (JSON.stringify(content)?.length ?? 0);
  }

  /** Adds an instance and returns its endpoint. */
  join(id: string): MemoryPeers {
    const peers = new MemoryPeers(this, id);
    this.#nodes.set(id, peers);
    return peers;
  }

  /** Removes an instance as if it had crashed; the others learn that it is lost. */
  crash(id: string): void {
    this.#nodes.delete(id);
    for (const node of this.#nodes.values()) node.notifyLost(id);
  }

  /** Drops the messages between two instances in both directions. */
  cut(a: string, b: string): void {
    this.#cuts.add(linkKey(a, b));
  }

  /** Undoes {@linkcode cut}. */
  heal(a: string, b: string): void {
    this.#cuts.delete(linkKey(a, b));
  }

  /** Returns the endpoint to which a message from `from` to `to` is delivered; `undefined` if it would be dropped. */
  route(from: string, to: string): MemoryPeers | undefined {
    if (this.#cuts.has(linkKey(from, to))) return undefined;
    if (!this.#nodes.has(from)) return undefined;
    return this.#nodes.get(to);
  }
}

/** Endpoint of one instance in a {@linkcode MemoryNetwork}. */
export class MemoryPeers implements Peers {
  readonly #network: MemoryNetwork;
  readonly #id: string;
  readonly #handlers = new Map<string, Handler>();
  readonly #lostHandlers: ((peer: string) => void)[] = [];

  constructor(network: MemoryNetwork, id: string) {
    this.#network = network;
    this.#id = id;
  }

  call<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure> {
    const { params, timeoutMs } = options;
    if (this.#network.route(this.#id, peer) === undefined) {
      return errAsync(notConnectedFailure);
    }
    const answer = this.#exchange(peer, call.method, params);
    const timeout = sleep(this.#network.clock, timeoutMs)
      .then(() => Promise.reject(timeoutFailure));
    return ResultAsync.fromPromise(
      Promise.race([answer, timeout]) as Promise<R>,
      toFailure,
    );
  }

  notify<P>(peer: string, notice: RpcNotification<P>, params: P): void {
    this.#deliver(peer, notice.method, params).catch(() => {});
  }

  serve<P, R>(
    call: RpcMethod<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void {
    this.#handlers.set(call.method, handler as Handler);
  }

  onNotification<P>(
    notice: RpcNotification<P>,
    handler: (params: P, from: string) => void,
  ): void {
    this.#handlers.set(notice.method, handler as Handler);
  }

  onDisconnect(handler: (peer: string) => void): void {
    this.#lostHandlers.push(handler);
  }

  /** Notifies this instance that a peer is lost. */
  notifyLost(peer: string): void {
    for (const handler of this.#lostHandlers) handler(peer);
  }

  /** Handles a message that has arrived and returns the response. */
  async receive(
    method: string,
    params: unknown,
    from: string,
  ): Promise<unknown> {
    const handler = this.#handlers.get(method);
    if (handler === undefined) {
      throw {
        type: "peerRefused",
        message: `no method ${method}`,
        code: -32601,
      } satisfies PeerFailure;
    }
    return await handler(params, from);
  }

  async #exchange(
    peer: string,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    const answer = await this.#deliver(peer, method, params);
    if (this.#network.latencyMs > 0) {
      await sleep(this.#network.clock, this.#network.latencyMs);
    }
    if (this.#network.route(peer, this.#id) === undefined) {
      return new Promise(() => {});
    }
    this.#network.count(method, answer);
    return answer;
  }

  async #deliver(
    peer: string,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    this.#network.count(method, params);
    if (this.#network.latencyMs > 0) {
      await sleep(this.#network.clock, this.#network.latencyMs);
    }
    const node = this.#network.route(this.#id, peer);
    if (node === undefined) return new Promise(() => {});
    return await node.receive(method, params, this.#id);
  }
}

const notConnectedFailure: PeerFailure = {
  type: "peerUnreached",
  message: "no link to the peer",
};

const timeoutFailure: PeerFailure = {
  type: "peerSilent",
  message: "no answer in time",
};

function toFailure(error: unknown): PeerFailure {
  const known = error as PeerFailure;
  if (known.type?.startsWith("peer")) return known;
  return { type: "peerRefused", message: "handler failed", code: -32603 };
}

function linkKey(a: string, b: string): string {
  return [a, b].sort().join("~");
}
