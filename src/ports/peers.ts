/**
 * Interface for remote procedure calls between instances.
 *
 * @module
 */
import type * as t from "io-ts";
import type { ResultAsync } from "neverthrow";
import type { PeerFailure } from "../errors.ts";

/** A method of the protocol between instances, with the codecs of its params and result. */
export interface RpcMethod<P, R> {
  readonly method: string;
  readonly params: t.Type<P>;
  readonly result: t.Type<R>;
}

/** A notification of the protocol between instances: a method without a response. */
export interface RpcNotification<P> {
  readonly method: string;
  readonly params: t.Type<P>;
}

/** The other instances. `peer` parameters are values of {@linkcode Instance.id}. */
export interface Peers {
  /** Calls a method of a peer; fails after `timeoutMs` without a response. */
  call<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure>;
  /** Sends a notification without waiting. It is lost if the peer cannot be reached. */
  notify<P>(peer: string, notice: RpcNotification<P>, params: P): void;
  /** Registers the handler of a method. `from` is the id of the calling instance. */
  serve<P, R>(
    call: RpcMethod<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void;
  /** Registers the handler of a notification. `from` is the id of the sending instance. */
  onNotification<P>(
    notice: RpcNotification<P>,
    handler: (params: P, from: string) => void,
  ): void;
  /**
   * Registers a handler that runs when the connection to a peer has closed. Calls
   * in flight on it fail.
   */
  onDisconnect(handler: (peer: string) => void): void;
}
