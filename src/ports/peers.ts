/**
 * Talk between instances, as the controllers see it.
 *
 * @module
 */
import type * as t from "io-ts";
import type { ResultAsync } from "neverthrow";
import type { PeerFailure } from "../errors.ts";

/** A method of the protocol between instances, with the shapes of its messages. */
export interface Call<P, R> {
  readonly method: string;
  readonly params: t.Type<P>;
  readonly result: t.Type<R>;
}

/** A one-way message of the protocol between instances. */
export interface Notice<P> {
  readonly method: string;
  readonly params: t.Type<P>;
}

/** The other instances. Peers are named by {@linkcode Instance.id}. */
export interface Peers {
  /** Calls a peer; gives up after `timeoutMs`. */
  call<P, R>(
    peer: string,
    call: Call<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure>;
  /** Sends without waiting; lost if the peer cannot be reached. */
  notify<P>(peer: string, notice: Notice<P>, params: P): void;
  /** Answers a method. `from` is the caller's instance id. */
  serve<P, R>(
    call: Call<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void;
  /** Takes a one-way message. */
  listen<P>(
    notice: Notice<P>,
    handler: (params: P, from: string) => void,
  ): void;
  /** Tells of the end of a link to a peer; calls in flight on it fail. */
  onLost(handler: (peer: string) => void): void;
}
