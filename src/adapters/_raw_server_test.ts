/**
 * TCP server for tests that sends prepared bytes.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";

/** How the server responds to the first data on a connection. */
export interface RawResponse {
  readonly bytes: string;
  /** What happens to the connection after the bytes. Both `keep` and `hang` leave it open; `hang` marks an incomplete response. */
  readonly then: "keep" | "hang" | "end" | "reset";
}

/** A listening server. */
export interface RawServer {
  /** `host:port`. */
  readonly address: string;
  /** Number of connections on which data was received. */
  readonly requests: () => number;
  close(): void;
}

/** Starts a server on any free port. */
export async function startRawServer(
  response: RawResponse,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      requests += 1;
      socket.write(
        response.bytes,
        () => finishConnection(socket, response.then),
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests: () => requests,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** An address that refuses connections: no server listens on port 1. */
export const REFUSING_ADDRESS = "127.0.0.1:1";

function finishConnection(socket: Socket, then: RawResponse["then"]): void {
  switch (then) {
    case "keep":
    case "hang":
      return;
    case "end":
      socket.end();
      return;
    case "reset":
      socket.resetAndDestroy();
      return;
  }
}
