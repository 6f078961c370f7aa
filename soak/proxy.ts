/**
 * A loopback proxy that delays, resets, silences or cuts one way.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What the proxy does to connections. `upstreamOnly`: answers are lost. */
export type ProxyMood = "well" | "delay" | "silent" | "reset" | "upstreamOnly";

/** Delay of each piece of a delayed connection, milliseconds: fifty times a zone's link. */
const DELAY_MS = 50;

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
  /** Bytes were swallowed: the connection says nothing any more, as a real one would. */
  deaf: boolean;
}

/** Forwards one address. */
export class Proxy {
  readonly #target: () => string;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #mood: ProxyMood = "well";

  /** `target`: `host:port` to forward to. */
  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer((client) => this.#open(client));
  }

  /** Starts to listen; gives `host:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Changes the mood; a reset also ends the connections that are open. */
  set mood(mood: ProxyMood) {
    this.#mood = mood;
    if (mood !== "reset") return;
    for (const pair of this.#pairs) close(pair);
  }

  /** Ends all connections and the listener. */
  close(): void {
    this.#server.close();
    for (const pair of this.#pairs) close(pair);
  }

  #open(client: Socket): void {
    if (this.#mood === "reset") return void client.resetAndDestroy();
    const [host, port] = this.#target().split(":");
    const server = connect(Number(port), host ?? "");
    const pair: Pair = { client, server, deaf: false };
    this.#pairs.add(pair);
    const end = () => {
      this.#pairs.delete(pair);
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
    pair: Pair,
    bytes: Uint8Array,
    direction: "request" | "answer",
  ): void {
    const swallowed = this.#mood === "silent" ||
      this.#mood === "upstreamOnly" && direction === "answer";
    if (swallowed) pair.deaf = true;
    if (swallowed || pair.deaf && direction === "answer") return;
    const to = direction === "request" ? pair.server : pair.client;
    if (this.#mood !== "delay") return void to.write(bytes);
    setTimeout(() => to.destroyed || to.write(bytes), DELAY_MS);
  }
}

function close({ client, server }: Pair): void {
  client.destroy();
  server.destroy();
}
