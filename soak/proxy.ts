/**
 * TCP proxy on the loopback interface that simulates network faults.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Simulated network fault. `well`: none. `delay`: data is delayed. `silent`: data is
 * dropped in both directions. `reset`: connections are closed and new ones reset.
 * `refuse`: connections are closed and new ones refused. `upstreamOnly`: responses
 * are dropped, requests are forwarded.
 */
export type ProxyFault =
  | "well"
  | "delay"
  | "silent"
  | "reset"
  | "refuse"
  | "upstreamOnly";

const HOST = "127.0.0.1";

/** Delay of each chunk of data: fifty times the latency of a link within a zone. */
const DELAY_MS = 50;

interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
  /** Data was dropped, so no more is sent to the client: a TCP stream has no gaps. */
  responsesDropped: boolean;
}

/** Forwards connections to one target. */
export class Proxy {
  readonly #target: () => string;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #fault: ProxyFault = "well";
  #port = 0;

  /** `target` returns the `host:port` to forward to; it is called for each connection. */
  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer((client) => this.#open(client));
  }

  /** Starts listening on a free port; returns `host:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, HOST, () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve(`${HOST}:${this.#port}`);
      });
    });
  }

  /** Sets the fault; `reset` and `refuse` also close the open connections. */
  set fault(fault: ProxyFault) {
    this.#fault = fault;
    if (fault === "refuse") this.#server.close();
    else if (!this.#server.listening) this.#server.listen(this.#port, HOST);
    if (fault !== "reset" && fault !== "refuse") return;
    for (const pair of this.#connections) close(pair);
  }

  /** Closes the listener and all connections. */
  close(): void {
    if (this.#server.listening) this.#server.close();
    for (const pair of this.#connections) close(pair);
  }

  #open(client: Socket): void {
    if (this.#fault === "reset") return void client.resetAndDestroy();
    const [host, port] = this.#target().split(":");
    const server = connect(Number(port), host ?? "");
    const pair: ProxiedConnection = { client, server, responsesDropped: false };
    this.#connections.add(pair);
    const end = () => {
      this.#connections.delete(pair);
      close(pair);
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on("error", end);
      socket.on("close", end);
    }
    client.on("data", (bytes) => this.#forward(pair, bytes, "request"));
    server.on("data", (bytes) => this.#forward(pair, bytes, "answer"));
  }

  #forward(
    pair: ProxiedConnection,
    bytes: Uint8Array,
    direction: "request" | "answer",
  ): void {
    const dropped = this.#fault === "silent" ||
      this.#fault === "upstreamOnly" && direction === "answer";
    if (dropped) pair.responsesDropped = true;
    if (dropped || pair.responsesDropped && direction === "answer") return;
    const to = direction === "request" ? pair.server : pair.client;
    if (this.#fault !== "delay") return void to.write(bytes);
    setTimeout(() => to.destroyed || to.write(bytes), DELAY_MS);
  }
}

function close({ client, server }: ProxiedConnection): void {
  client.destroy();
  server.destroy();
}
