/**
 * A network of instances in memory, with cuts, delays and losses on call.
 *
 * @module
 */
import { errAsync, ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Call, Notice, Peers } from "../ports/peers.ts";

type Handler = (params: unknown, from: string) => unknown;

/** The network between instances. */
export class MemoryNetwork {
  readonly clock: Clock;
  /** One-way delay of every message, milliseconds. */
  latencyMs = 0;
  /** Messages sent so far. */
  messages = 0;
  /** Bytes of their contents. */
  bytes = 0;
  readonly #nodes = new Map<string, MemoryPeers>();
  readonly #cuts = new Set<string>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Counts a message. */
  count(method: string, content: unknown): void {
    this.messages++;
    this.bytes += method.length + (JSON.stringify(content)?.length ?? 0);
  }

  /** Adds an instance and gives its view of the network. */
  join(id: string): MemoryPeers {
    const peers = new MemoryPeers(this, id);
    this.#nodes.set(id, peers);
    return peers;
  }

  /** Removes an instance as a crash does. */
  crash(id: string): void {
    this.#nodes.delete(id);
    for (const node of this.#nodes.values()) node.lost(id);
  }

  /** Drops messages between two instances, both ways. */
  cut(a: string, b: string): void {
    this.#cuts.add(link(a, b));
  }

  /** Undoes {@linkcode cut}. */
  heal(a: string, b: string): void {
    this.#cuts.delete(link(a, b));
  }

  /** The instance that a message from `from` to `to` would reach. */
  route(from: string, to: string): MemoryPeers | undefined {
    if (this.#cuts.has(link(from, to))) return undefined;
    if (!this.#nodes.has(from)) return undefined;
    return this.#nodes.get(to);
  }
}

/** One instance's view of a {@linkcode MemoryNetwork}. */
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
    call: Call<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure> {
    const { params, timeoutMs } = options;
    if (this.#network.route(this.#id, peer) === undefined) {
      return errAsync(unreachedFailure);
    }
    const answer = this.#exchange(peer, call.method, params);
    const timeout = sleep(this.#network.clock, timeoutMs)
      .then(() => Promise.reject(silentFailure));
    return ResultAsync.fromPromise(
      Promise.race([answer, timeout]) as Promise<R>,
      asFailure,
    );
  }

  notify<P>(peer: string, notice: Notice<P>, params: P): void {
    this.#deliver(peer, notice.method, params).catch(() => {});
  }

  serve<P, R>(
    call: Call<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void {
    this.#handlers.set(call.method, handler as Handler);
  }

  listen<P>(
    notice: Notice<P>,
    handler: (params: P, from: string) => void,
  ): void {
    this.#handlers.set(notice.method, handler as Handler);
  }

  onLost(handler: (peer: string) => void): void {
    this.#lostHandlers.push(handler);
  }

  /** Tells this instance that a peer is gone. */
  lost(peer: string): void {
    for (const handler of this.#lostHandlers) handler(peer);
  }

  /** Carries out a message that has arrived. */
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

const unreachedFailure: PeerFailure = {
  type: "peerUnreached",
  message: "no link to the peer",
};

const silentFailure: PeerFailure = {
  type: "peerSilent",
  message: "no answer in time",
};

function asFailure(error: unknown): PeerFailure {
  const known = error as PeerFailure;
  if (known.type?.startsWith("peer")) return known;
  return { type: "peerRefused", message: "handler failed", code: -32603 };
}

function link(a: string, b: string): string {
  return [a, b].sort().join("~");
}
