/**
 * HTTP server for stand-ins that can refuse new connections and close open ones.
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

/** Handles one request; an error it throws is answered with status 500. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Options of an endpoint. */
export interface EndpointOptions {
  /** Port to listen on; 0, the default, for any free port. */
  readonly port?: number | undefined;
  /** Called for each new connection. */
  readonly onConnection?: (socket: Socket) => void;
}

/**
 * Simulated outage: `refuse` refuses connections, `hang` accepts them and never
 * answers, `false` is no outage.
 */
export type Outage = "refuse" | "hang" | false;

const HOST = "127.0.0.1";
const INTERNAL_ERROR = 500;

/** HTTP server on the loopback interface. */
export class Endpoint {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #onConnection: (socket: Socket) => void;
  #port: number;

  constructor(handler: Handler, options: EndpointOptions = {}) {
    this.#port = options.port ?? 0;
    this.#onConnection = options.onConnection ?? (() => {});
    this.#server = createServer((request, response) => {
      void handle(handler, request, response);
    });
    this.#server.on("connection", (socket) => this.#track(socket));
  }

  /** Address as `host:port`. */
  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  /** Open connections. */
  get sockets(): ReadonlySet<Socket> {
    return this.#sockets;
  }

  /** Starts listening; after a `refuse()`, on the same port as before. Rejects if the port is in use. */
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

  /** Refuses new connections; open ones are kept. */
  refuse(): void {
    if (this.#server.listening) this.#server.close();
  }

  /** Closes every open connection, apart from `except`. */
  closeConnections(except?: Socket): void {
    for (const socket of this.#sockets) {
      if (socket !== except) socket.destroy();
    }
  }

  /**
   * Starts or ends an outage; `undefined` changes nothing. The connection `except`
   * stays open, so that the response to the control request can be sent.
   */
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
        return this.closeConnections(except);
      case false:
        this.closeConnections(except);
        await this.listen();
    }
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    if (!this.#server.listening) return this.closeConnections();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.closeConnections();
    await closed;
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    this.#onConnection(socket);
  }
}

async function handle(
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

/** Reads the whole body of a request into memory. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Parses the body of a request as JSON; an empty body is read as `{}`. Throws a `SyntaxError` for invalid JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  return body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
}

/** Sends a response with a JSON body. */
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

/** Path of a request without its query string. */
export function requestPath(request: IncomingMessage): string {
  return (request.url ?? "/").split("?")[0] ?? "/";
}
