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
import type { Log } from "../logger.ts";
import { splitAddress } from "../peers/outbound.ts";
import { sendJson } from "./answers.ts";
import { findRoute, type Route } from "./routes.ts";

/** Idle connections of callers are kept for so long, milliseconds. */
const KEEP_ALIVE_MS = 60_000;
/** A caller has so long to send its headers, milliseconds. */
const HEADERS_MS = 10_000;
/** Most bytes of headers. */
const HEADERS_LIMIT_BYTES = 16 * 1024;
/** Most open connections of callers. */
const MAX_CONNECTIONS = 10_000;

/** What the listener needs. */
export interface HttpServerOptions {
  /** `host:port`. */
  readonly listen: string;
  readonly routes: readonly Route[];
  readonly log: Log;
}

/** An HTTP server over a table of routes. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  #active = 0;
  #closing = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_MS,
      maxHeaderSize: HEADERS_LIMIT_BYTES,
      noDelay: true,
    }, (message, response) => this.#serve(message, response));
    this.#server.maxConnections = MAX_CONNECTIONS;
  }

  /** Calls that are being answered. */
  get active(): number {
    return this.#active;
  }

  /** Starts to listen. */
  listening(): Promise<void> {
    const [host, port] = splitAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Takes no new connections; resolves once every call has been answered. */
  close(): Promise<void> {
    this.#closing = true;
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #serve(message: IncomingMessage, response: ServerResponse): void {
    this.#active++;
    if (this.#closing) response.setHeader("connection", "close");
    response.once("close", () => this.#active--);
    const url = new URL(message.url ?? "/", "http://caller");
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
        return refuse(response, 405, "this path takes another method");
      case "none":
        return refuse(response, 404, "there is nothing at this path");
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
      if (!call.response.headersSent) {
        refuse(call.response, 500, "internal failure");
      } else call.response.destroy();
    });
  }
}

function refuse(response: ServerResponse, status: number, message: string) {
  sendJson(response, status, { type: "badRequest", message });
}
