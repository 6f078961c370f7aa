/**
 * The listener for callers, operators and the balancer.
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
import { findRoute, type Route } from "./routes.ts";

/** Idle connections of callers are kept for so long, milliseconds. */
const KEEP_ALIVE_MS = 60_000;
/** A caller has so long to send its headers, milliseconds. */
const HEADERS_MS = 10_000;
/** Time between looks for callers that are late with their headers, milliseconds. */
const HEADERS_CHECK_MS = 1_000;
/** A caller has so long to send its body, milliseconds. */
const BODY_MS = 60_000;
/** Connections without a request stay open for so long during shutdown, milliseconds. */
const CLOSE_GRACE_MS = 1_000;
/** Most bytes of headers. */
const HEADERS_LIMIT_BYTES = 16 * 1024;
/** Most open connections of callers. */
const MAX_CONNECTIONS = 10_000;

/** What the listener needs. */
export interface HttpServerOptions {
  /** `host:port`. */
  readonly listen: string;
  readonly routes: readonly Route[];
  readonly clock: Clock;
  readonly log: Log;
}

/** A connection of a caller. */
interface Connection {
  /** Calls that are being answered on it. */
  active: number;
  /** Ends it if no call comes. */
  timer: Timer;
}

/** An HTTP server over a table of routes. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  readonly #responses = new Set<ServerResponse>();
  #draining = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_MS,
      connectionsCheckingInterval: HEADERS_CHECK_MS,
      maxHeaderSize: HEADERS_LIMIT_BYTES,
      noDelay: true,
    }, (message, response) => this.#serve(message, response));
    this.#server.on("connection", (socket) => this.#connected(socket));
    this.#server.maxConnections = MAX_CONNECTIONS;
  }

  /** Calls that are being answered. */
  get active(): number {
    return this.#responses.size;
  }

  /** Open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Starts to listen. */
  listening(): Promise<void> {
    const [host, port] = splitAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** From now on each connection ends with the answer that it waits for. */
  drain(): void {
    this.#draining = true;
    for (const response of this.#responses) endAfter(response);
  }

  /** Takes no new connections; resolves once every call has been answered. */
  close(): Promise<void> {
    this.drain();
    for (const [socket, { active }] of this.#connections) {
      if (active === 0) this.#expect(socket, CLOSE_GRACE_MS);
    }
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #connected(socket: Socket): void {
    this.#expect(socket, HEADERS_MS);
    socket.once("close", () => {
      this.#connections.get(socket)?.timer.cancel();
      this.#connections.delete(socket);
    });
  }

  /** Ends a connection on which no call begins within `delayMs`. */
  #expect(socket: Socket, delayMs: number): void {
    this.#connections.get(socket)?.timer.cancel();
    const timer = this.#options.clock.after(delayMs, () => socket.destroy());
    this.#connections.set(socket, { active: 0, timer });
  }

  #begin(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    const connection = this.#connections.get(socket);
    connection?.timer.cancel();
    if (connection !== undefined) connection.active++;
    this.#responses.add(response);
    const late = this.#options.clock.after(BODY_MS, () => socket.destroy());
    message.once("close", () => late.cancel());
    response.once("close", () => {
      late.cancel();
      this.#end(socket, response);
    });
  }

  #end(socket: Socket, response: ServerResponse): void {
    this.#responses.delete(response);
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.active--;
    const waits = connection.active === 0 && !socket.destroyed;
    if (waits) this.#expect(socket, KEEP_ALIVE_MS);
  }

  #serve(message: IncomingMessage, response: ServerResponse): void {
    this.#begin(message, response);
    if (this.#draining) endAfter(response);
    const url = urlOf(message.url ?? "/");
    if (url === undefined) return refuse(response, 400, "this is no URL");
    const match = findRoute(this.#options.routes, {
      method: message.method ?? "GET",
      path: url.pathname,
    });
    switch (match.type) {
      case "found":
        this.#answer(
          { message, response, url, parts: match.parts },
          match.route,
        );
        return;
      case "wrongMethod":
        response.setHeader("allow", match.methods.join(", "));
        return refuse(response, 405, "this path takes another method");
      case "none":
        return refuse(response, 404, "there is nothing at this path");
      default:
        return assertNever(match);
    }
  }

  #answer(
    call: Parameters<Route["answer"]>[0],
    route: Route,
  ): void {
    const started = new Promise<void>((resolve) => resolve(route.answer(call)));
    started.catch((error: unknown) => {
      const message = error instanceof Error ? error.message : String(error);
      this.#options.log.error("http.failed", { path: route.pattern, message });
      if (call.response.headersSent) call.response.destroy();
      else confess(call.response);
    });
  }
}

/** The URL of a request target in origin or absolute form. */
function urlOf(target: string): URL | undefined {
  const text = target.startsWith("/") ? `http://caller${target}` : target;
  return URL.canParse(text) ? new URL(text) : undefined;
}

function endAfter(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}

function refuse(
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

/** Says that a failure of this instance leaves the outcome open. */
function confess(response: ServerResponse): void {
  response.setHeader(OUTCOME_HEADER, "unknown");
  sendJson(response, 500, {
    type: "internal",
    outcome: "unknown",
    message: "internal failure; it may have run, once at most",
  });
}
