/**
 * HTTP server for callers, operators and the load balancer.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock, Timer } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import { splitAddress } from "../peers/outbound_connection.ts";
import { OUTCOME_HEADER, sendJson } from "./answers.ts";
import { ConnectionLimiter } from "./connection_limits.ts";
import { findRoute, type Route } from "./routes.ts";

/** How long idle connections are kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Time limit for a caller to send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Interval of the check for connections past the header time limit. */
const HEADERS_CHECK_INTERVAL_MS = 1_000;
/** Time limit for a caller to send its body. */
const BODY_TIMEOUT_MS = 60_000;
/** How long connections without a request stay open during shutdown. */
const CLOSE_TIMEOUT_MS = 1_000;
/** Maximum size of the headers of a request. */
const MAX_HEADERS_BYTES = 16 * 1024;
/** Maximum number of open connections. */
const MAX_CONNECTIONS = 10_000;
/** Maximum number of requests on one connection that have not been answered. */
const MAX_PIPELINED = 32;

/** Dependencies of the server. */
export interface HttpServerOptions {
  /** Address to listen on, as `host:port`. */
  readonly listen: string;
  readonly routes: readonly Route[];
  readonly clock: Clock;
  readonly log: Log;
}

/** State of an open connection. */
interface Connection {
  /** Number of requests in progress on the connection. */
  activeRequests: number;
  /** Closes the connection if no request starts. */
  idleTimer: Timer;
}

/** HTTP server that dispatches requests by a route table. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  readonly #responses = new Set<ServerResponse>();
  #draining = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADERS_BYTES,
      noDelay: true,
    });
    new ConnectionLimiter(this.#server, {
      maxConnections: MAX_CONNECTIONS,
      maxPipelined: MAX_PIPELINED,
    });
    this.#server.on("connection", (socket) => this.#onConnection(socket));
    this.#server.on(
      "request",
      (message, response) => this.#serve(message, response),
    );
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#responses.size;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Starts to listen; rejects if the address can't be bound. */
  listen(): Promise<void> {
    const [host, port] = splitAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** From now on, each connection is closed after the response in progress. */
  drain(): void {
    this.#draining = true;
    for (const response of this.#responses) closeAfterResponse(response);
  }

  /** Stops accepting connections; resolves once all requests are answered and all connections closed. */
  close(): Promise<void> {
    this.drain();
    for (const [socket, { activeRequests }] of this.#connections) {
      if (activeRequests === 0) this.#closeWhenIdle(socket, CLOSE_TIMEOUT_MS);
    }
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #onConnection(socket: Socket): void {
    this.#closeWhenIdle(socket, HEADERS_TIMEOUT_MS);
    socket.once("close", () => {
      this.#connections.get(socket)?.idleTimer.cancel();
      this.#connections.delete(socket);
    });
  }

  /** Closes a connection on which no request starts within `delayMs`. */
  #closeWhenIdle(socket: Socket, delayMs: number): void {
    this.#connections.get(socket)?.idleTimer.cancel();
    const timer = this.#options.clock.after(delayMs, () => socket.destroy());
    this.#connections.set(socket, { activeRequests: 0, idleTimer: timer });
  }

  #onRequestStart(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    const connection = this.#connections.get(socket);
    connection?.idleTimer.cancel();
    if (connection !== undefined) connection.activeRequests++;
    this.#responses.add(response);
    const bodyTimer = this.#options.clock.after(
      BODY_TIMEOUT_MS,
      () => socket.destroy(),
    );
    message.once("close", () => bodyTimer.cancel());
    response.once("close", () => {
      bodyTimer.cancel();
      this.#onRequestEnd(socket, response);
    });
  }

  #onRequestEnd(socket: Socket, response: ServerResponse): void {
    this.#responses.delete(response);
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.activeRequests--;
    const isIdle = connection.activeRequests === 0 && !socket.destroyed;
    if (isIdle) this.#closeWhenIdle(socket, KEEP_ALIVE_TIMEOUT_MS);
  }

  #serve(message: IncomingMessage, response: ServerResponse): void {
    // One of too many requests on a connection, which has been closed.
    if (message.socket.destroyed) return;
    this.#onRequestStart(message, response);
    if (this.#draining) closeAfterResponse(response);
    const url = urlOf(message.url ?? "/");
    if (url === undefined) return reject(response, 400, "this is no URL");
    const match = findRoute(this.#options.routes, {
      method: message.method ?? "GET",
      path: url.pathname,
    });
    switch (match.type) {
      case "found":
        this.#runRoute(
          { message, response, url, parts: match.parts },
          match.route,
        );
        return;
      case "wrongMethod":
        response.setHeader("allow", match.methods.join(", "));
        return reject(response, 405, "this path takes another method");
      case "none":
        return reject(response, 404, "there is nothing at this path");
      default:
        return assertNever(match);
    }
  }

  #runRoute(
    call: Parameters<Route["answer"]>[0],
    route: Route,
  ): void {
    const finished = new Promise<void>((resolve) =>
      resolve(route.answer(call))
    );
    finished.catch((error: unknown) => {
      const message = error instanceof Error ? error.message : String(error);
      this.#options.log.error("http.failed", { path: route.pattern, message });
      if (call.response.headersSent) call.response.destroy();
      else sendInternalFailure(call.response);
    });
  }
}

/** URL of a request target in origin or absolute form; `undefined` if it is not valid. */
function urlOf(target: string): URL | undefined {
  const text = target.startsWith("/") ? `http://caller${target}` : target;
  return URL.canParse(text) ? new URL(text) : undefined;
}

function closeAfterResponse(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}

function reject(
  response: ServerResponse,
  status: number,
  message: string,
): void {
  response.setHeader(OUTCOME_HEADER, "notRun");
  sendJson(response, status, {
    type: "badRequest",
    outcome: "notRun",
    message,
  });
}

/** Answers a request that failed inside this instance: its outcome is unknown. */
function sendInternalFailure(response: ServerResponse): void {
  response.setHeader(OUTCOME_HEADER, "unknown");
  sendJson(response, 500, {
    type: "internal",
    outcome: "unknown",
    message: "internal failure; it may have run, once at most",
  });
}
