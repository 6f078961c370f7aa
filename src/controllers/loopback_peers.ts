/**
 * Messages to peers that reach this instance as well.
 *
 * @module
 */
import { errAsync, ResultAsync } from "neverthrow";
import type { PeerFailure } from "../errors.ts";
import type { Peers, RpcMethod, RpcNotification } from "../ports/peers.ts";

type Handler = (params: unknown, from: string) => unknown;

/**
 * Delivers messages to this instance without the network and passes all others
 * on to the network.
 */
export class LoopbackPeers implements Peers {
  readonly #self: string;
  readonly #peers: Peers;
  readonly #handlers = new Map<string, Handler>();

  constructor(self: string, peers: Peers) {
    this.#self = self;
    this.#peers = peers;
  }

  call<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure> {
    if (peer !== this.#self) return this.#peers.call(peer, call, options);
    const handler = this.#handlers.get(call.method);
    if (handler === undefined) return errAsync(handlerFailed);
    const answer = Promise.resolve()
      .then(() => handler(options.params, peer) as R);
    return ResultAsync.fromPromise(answer, () => handlerFailed);
  }

  notify<P>(peer: string, notice: RpcNotification<P>, params: P): void {
    if (peer !== this.#self) return this.#peers.notify(peer, notice, params);
    queueMicrotask(() => this.#handlers.get(notice.method)?.(params, peer));
  }

  serve<P, R>(
    call: RpcMethod<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void {
    this.#handlers.set(call.method, handler as Handler);
    this.#peers.serve(call, handler);
  }

  onNotification<P>(
    notice: RpcNotification<P>,
    handler: (params: P, from: string) => void,
  ): void {
    this.#handlers.set(notice.method, handler as Handler);
    this.#peers.onNotification(notice, handler);
  }

  onDisconnect(handler: (peer: string) => void): void {
    this.#peers.onDisconnect(handler);
  }
}

const handlerFailed: PeerFailure = {
  type: "peerRefused",
  message: "handler failed",
  code: -32603,
};
