/**
 * Limits what the connections of one HTTP server may hold.
 *
 * @module
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Limits of the connections of a server. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Maximum number of requests on one connection that have not been answered. */
  readonly maxPipelined: number;
}

/** Why a connection was closed. `crowded`: a newer one took its place; `pipelined`: it had too many requests in progress. */
export type ClosedReason = "crowded" | "pipelined";

/**
 * Watches the connections of a server. Of too many connections, the one that
 * has done nothing for the longest is closed: it is idle, has sent only a part
 * of a request, or does not read its responses. Connections with a request in
 * progress are kept.
 */
export class ConnectionLimiter {
  readonly #limits: ConnectionLimits;
  readonly #onClosed: (reason: ClosedReason) => void;
  /** Unfinished responses by connection, the least recently used connection first. */
  readonly #connections = new Map<Socket, Set<ServerResponse>>();

  /** Call before the server's handler of requests is added: requests on a connection that is over the limit arrive with a destroyed socket. */
  constructor(
    server: Server,
    limits: ConnectionLimits,
    onClosed: (reason: ClosedReason) => void = () => {},
  ) {
    this.#limits = limits;
    this.#onClosed = onClosed;
    server.on("connection", (socket) => this.#accept(socket));
    server.on(
      "request",
      ({ socket }, response) => this.#begin(socket, response),
    );
  }

  /** Number of open connections. */
  get open(): number {
    return this.#connections.size;
  }

  #accept(socket: Socket): void {
    this.#connections.set(socket, new Set());
    socket.once("close", () => this.#connections.delete(socket));
    if (this.#connections.size <= this.#limits.maxConnections) return;
    // The new connection is the last one, and is closed itself if all others are busy.
    for (const [other, responses] of this.#connections) {
      if (![...responses].some(isInProgress)) {
        return this.#close(other, "crowded");
      }
    }
  }

  #begin(socket: Socket, response: ServerResponse): void {
    const responses = this.#connections.get(socket);
    if (responses === undefined) return;
    responses.add(response);
    response.once("close", () => {
      responses.delete(response);
      if (this.#connections.delete(socket)) {
        this.#connections.set(socket, responses);
      }
    });
    if (responses.size > this.#limits.maxPipelined) {
      this.#close(socket, "pipelined");
    }
  }

  #close(socket: Socket, reason: ClosedReason): void {
    this.#connections.delete(socket);
    socket.destroy();
    this.#onClosed(reason);
  }
}

/** Whether a request has been received as a whole and not been answered yet. */
function isInProgress(response: ServerResponse): boolean {
  return response.req.complete && !response.writableEnded;
}
