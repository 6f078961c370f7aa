/**
 * A small HTTP server whose connections can be refused and cut.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Buffer } from "node:buffer";
import type { AddressInfo, Socket } from "node:net";

/** Answers one request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Settings of an endpoint. */
export interface EndpointOptions {
  /** 0 for any free port. */
  readonly port?: number | undefined;
  /** Called with each new connection. */
  readonly connected?: (socket: Socket) => void;
}

/** Connections are refused, or accepted and never answered. */
export type Outage = "refuse" | "hang" | false;

const HOST = "127.0.0.1";
const INTERNAL_ERROR = 500;

/** A listening HTTP server on the loopback interface. */
export class Endpoint {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #connected: (socket: Socket) => void;
  #port: number;

  constructor(handler: Handler, options: EndpointOptions = {}) {
    this.#port = options.port ?? 0;
    this.#connected = options.connected ?? (() => {});
    this.#server = createServer((request, response) => {
      void answer(handler, request, response);
    });
    this.#server.on("connection", (socket) => this.#track(socket));
  }

  /** `host:port`. */
  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  /** Connections that are open now. */
  get sockets(): ReadonlySet<Socket> {
    return this.#sockets;
  }

  /** Starts to accept connections, on the same port as before if there was one. */
  async listen(): Promise<void> {
    if (this.#server.listening) return;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#port, HOST, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Refuses new connections; open ones go on. */
  refuse(): void {
    if (this.#server.listening) this.#server.close();
  }

  /** Cuts every open connection but one. */
  cut(except?: Socket): void {
    for (const socket of this.#sockets) {
      if (socket !== except) socket.destroy();
    }
  }

  /** Goes into an outage or out of it; one connection survives both. */
  async setOutage(
    outage: Outage | undefined,
    except?: Socket,
  ): Promise<void> {
    switch (outage) {
      case undefined:
      case "hang":
        return;
      case "refuse":
        this.refuse();
        return this.cut(except);
      case false:
        this.cut(except);
        await this.listen();
    }
  }

  /** Refuses new connections and cuts the open ones. */
  async close(): Promise<void> {
    if (!this.#server.listening) return this.cut();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.cut();
    await closed;
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    this.#connected(socket);
  }
}

async function answer(
  handler: Handler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    await handler(request, response);
  } catch (error) {
    if (response.headersSent) response.destroy();
    else sendJson(response, INTERNAL_ERROR, { error: String(error) });
  }
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Reads the whole body of a request as JSON; an empty body is an empty object. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Path of a request without its query. */
export function pathOf(request: IncomingMessage): string {
  return (request.url ?? "/").split("?")[0] ?? "/";
}
