/**
 * Peers for tests: real instances of {@linkcode TcpPeers}, and raw sockets that
 * can break the protocol.
 *
 * @module
 */
import type { ExecutionContext } from "ava";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import * as t from "io-ts";
import { LOOPBACK } from "../../testbed/loopback.ts";
import { type Clock, systemClock } from "../clock.ts";
import type { Fields, Log } from "../logger.ts";
import type { RpcMethod } from "../ports/peers.ts";
import type { Instance } from "../types.ts";
import { type Hello, PROTOCOL_VERSION, prove } from "./handshake.ts";
import { parseLine, readLines } from "./json_lines.ts";
import { TcpPeers } from "./tcp_peers.ts";

/** Secret that the peers of these tests share. */
export const KEY = "peers-key-of-the-tests-0123456789";

/** A method that returns its parameter. */
export const echoCall: RpcMethod<{ text: string }, { text: string }> = {
  method: "echo",
  params: t.type({ text: t.string }),
  result: t.type({ text: t.string }),
};

/** Timeout of calls whose timeout the test does not exercise. */
export const LONG_TIMEOUT_MS = 60_000;

/** A log that records its events. */
export class EventLog implements Log {
  readonly events: { readonly event: string; readonly fields: Fields }[] = [];

  debug(event: string, fields: Fields = {}): void {
    this.events.push({ event, fields });
  }

  info(event: string, fields: Fields = {}): void {
    this.events.push({ event, fields });
  }

  warn(event: string, fields: Fields = {}): void {
    this.events.push({ event, fields });
  }

  error(event: string, fields: Fields = {}): void {
    this.events.push({ event, fields });
  }

  /** Whether an event was logged with all the given fields. */
  has(event: string, fields: Fields): boolean {
    const wanted = Object.entries(fields);
    return this.events.some((entry) =>
      entry.event === event &&
      wanted.every(([name, value]) => entry.fields[name] === value)
    );
  }
}

/** An instance of {@linkcode TcpPeers} with its log. */
export interface TestPeer {
  readonly instance: Instance;
  readonly peers: TcpPeers;
  readonly log: EventLog;
}

/** Starts a peer that listens on the given port, or on any free one. */
export async function startPeer(
  t: ExecutionContext,
  options: {
    readonly id: string;
    readonly key?: string;
    readonly clock?: Clock;
    readonly port?: number;
  },
): Promise<TestPeer> {
  const port = options.port ?? await freePort();
  const address = `${LOOPBACK}:${port}`;
  const instance = instanceAt(options.id, address);
  const log = new EventLog();
  const peers = new TcpPeers({
    self: instance,
    listen: address,
    key: options.key ?? KEY,
    clock: options.clock ?? systemClock,
    log,
  });
  await peers.start();
  t.teardown(() => peers.close());
  return { instance, peers, log };
}

/** An instance with the given peer address. */
export function instanceAt(id: string, peerAddress: string): Instance {
  return { id, peerAddress, callerAddress: "127.0.0.1:1", zone: "zone-1" };
}

/** A TCP listener whose behaviour the test defines. */
export interface RawListener {
  readonly address: string;
  readonly sockets: readonly Socket[];
  readonly server: Server;
}

/** Starts a TCP listener that calls `onSocket` for each connection. */
export async function startRawListener(
  t: ExecutionContext,
  onSocket: (socket: Socket) => void,
  options: { readonly allowHalfOpen?: boolean } = {},
): Promise<RawListener> {
  const sockets: Socket[] = [];
  const server = createServer(options, (socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `${LOOPBACK}:${port}`, sockets, server };
}

/** Completes the handshake as the peer `id`, then passes each message to `onMessage`. */
export function acceptHandshake(
  socket: Socket,
  id: string,
  onMessage: (message: Record<string, unknown>) => void,
): void {
  let helloReceived = false;
  const challengeMessage = { version: PROTOCOL_VERSION, challenge: "00" };
  socket.write(JSON.stringify(challengeMessage) + "\n");
  eachLine(socket, (line) => {
    const message = parseLine(line) ?? {};
    if (helloReceived) return onMessage(message);
    helloReceived = true;
    const { challenge } = message as typeof Hello._A;
    const proof = prove(KEY, [challenge, id]);
    socket.write(JSON.stringify({ id, proof }) + "\n");
  });
}

/** Connects to an address and records the lines it receives. */
export function connectRaw(
  t: ExecutionContext,
  address: string,
): {
  readonly socket: Socket;
  readonly lines: string[];
  readonly closed: () => boolean;
} {
  const port = Number(address.split(":")[1]);
  const socket = connect({ host: LOOPBACK, port });
  const lines: string[] = [];
  let closed = false;
  socket.on("error", () => {});
  socket.on("close", () => closed = true);
  eachLine(socket, (line) => lines.push(line));
  t.teardown(() => socket.destroy());
  return { socket, lines, closed: () => closed };
}

/** The hello line that authenticates `from` to `to`. */
export function helloLine(
  challengeLine: string,
  hello: {
    readonly from: string;
    readonly to: string;
    readonly key?: string;
    readonly version?: number;
  },
): string {
  const { challenge } = JSON.parse(challengeLine) as { challenge: string };
  const { from, to, key = KEY, version = PROTOCOL_VERSION } = hello;
  const proof = prove(key, [challenge, from, to]);
  const nonce = "11";
  return JSON.stringify({ version, id: from, to, proof, challenge: nonce }) +
    "\n";
}

/** A port of this machine that is free at present. */
export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function eachLine(socket: Socket, onLine: (line: string) => void): void {
  readLines(socket, { onLine, maxChars: () => Infinity });
}
