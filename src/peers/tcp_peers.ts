/**
 * JSON-RPC between instances over TCP. Each instance keeps one outbound
 * connection to every other instance for its own calls, and a listener for
 * incoming calls.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  JSONRPCErrorException,
  type JSONRPCRequest,
  JSONRPCServer,
} from "json-rpc-2.0";
import { errAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Peers, RpcMethod, RpcNotification } from "../ports/peers.ts";
import type { Instance } from "../types.ts";
import {
  decode,
  equalInConstantTime,
  Hello,
  newChallenge,
  PROTOCOL_VERSION,
  prove,
} from "./handshake.ts";
import {
  MAX_HANDSHAKE_LINE_CHARS,
  MAX_LINE_CHARS,
  parseLine,
  readLines,
  writeLine,
} from "./json_lines.ts";
import {
  MAX_BUFFERED_BYTES,
  OutboundConnection,
  splitAddress,
} from "./outbound_connection.ts";

/** Time within which a caller must complete the handshake. */
const HANDSHAKE_TIMEOUT_MS = 2_000;
/** An inbound connection on which the peer sends nothing for this time is closed. */
const INBOUND_IDLE_TIMEOUT_MS = 5_000;

/** Options of {@linkcode TcpPeers}. */
export interface TcpPeersOptions {
  readonly self: Instance;
  /** `host:port` to listen on. */
  readonly listen: string;
  /** Secret shared by all instances; both ends prove that they have it. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** Implements {@linkcode Peers} over TCP connections. */
export class TcpPeers implements Peers {
  readonly #options: TcpPeersOptions;
  readonly #connections = new Map<string, OutboundConnection>();
  readonly #rpc = new JSONRPCServer<string>({ errorListener: () => {} });
  readonly #disconnectHandlers: ((peer: string) => void)[] = [];
  readonly #inbound = new Set<Socket>();
  readonly #server: Server;

  constructor(options: TcpPeersOptions) {
    this.#options = options;
    this.#server = createServer(
      { noDelay: true },
      (socket) => this.#accept(socket),
    );
  }

  /** Starts the listener. Rejects if the address cannot be bound. */
  start(): Promise<void> {
    const [host, port] = splitAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Connects to all `members` except this instance. Connections to instances
   * that are no longer members close after their last call in flight.
   */
  setMembers(members: readonly Instance[]): void {
    const others = new Map(members.map((member) => [member.id, member]));
    others.delete(this.#options.self.id);
    for (const [id, connection] of this.#connections) {
      if (others.has(id)) continue;
      connection.closeWhenIdle();
      this.#connections.delete(id);
    }
    for (const member of others.values()) {
      if (!this.#connections.has(member.id)) this.#connect(member);
    }
  }

  /** Whether the connection to a peer is established and authenticated. */
  connected(peer: string): boolean {
    return this.#connections.get(peer)?.ready ?? false;
  }

  call<P, R>(
    peer: string,
    call: RpcMethod<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure> {
    const connection = this.#connections.get(peer);
    if (connection === undefined) {
      return errAsync({
        type: "peerUnreached",
        message: "the peer is not a known member",
      });
    }
    const result = connection
      .call(call.method, {
        params: call.params.encode(options.params),
        timeoutMs: options.timeoutMs,
      })
      .then((value) => decodeResult(call, value));
    return ResultAsync.fromPromise(result, (error) => error as PeerFailure);
  }

  notify<P>(peer: string, notice: RpcNotification<P>, params: P): void {
    this.#connections.get(peer)?.notify(
      notice.method,
      notice.params.encode(params),
    );
  }

  serve<P, R>(
    call: RpcMethod<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void {
    this.#rpc.addMethod(call.method, async (params, from) => {
      const decoded = decodeParams(call.params, params);
      return call.result.encode(await handler(decoded, from));
    });
  }

  onNotification<P>(
    notice: RpcNotification<P>,
    handler: (params: P, from: string) => void,
  ): void {
    this.#rpc.addMethod(notice.method, (params, from) => {
      handler(decodeParams(notice.params, params), from);
    });
  }

  onDisconnect(handler: (peer: string) => void): void {
    this.#disconnectHandlers.push(handler);
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.#server.close();
    for (const connection of this.#connections.values()) connection.close();
    for (const socket of this.#inbound) socket.destroy();
    this.#connections.clear();
  }

  #connect(member: Instance): void {
    const { self, key, clock, log } = this.#options;
    const connection = new OutboundConnection({
      self: self.id,
      peer: member.id,
      address: member.peerAddress,
      key,
      clock,
      log,
      onDisconnect: () =>
        this.#disconnectHandlers.forEach((handler) => handler(member.id)),
    });
    this.#connections.set(member.id, connection);
  }

  #accept(socket: Socket): void {
    const challenge = newChallenge();
    let from: string | undefined;
    this.#inbound.add(socket);
    const handshakeTimer = this.#options.clock.after(
      HANDSHAKE_TIMEOUT_MS,
      () => socket.destroy(),
    );
    socket.on("error", () => {});
    socket.on("close", () => {
      handshakeTimer.cancel();
      this.#inbound.delete(socket);
    });
    readLines(socket, {
      maxChars: () =>
        from === undefined ? MAX_HANDSHAKE_LINE_CHARS : MAX_LINE_CHARS,
      onLine: (line) => {
        const message = parseLine(line);
        if (message === undefined) return socket.destroy();
        if (from !== undefined) return this.#receive(socket, { message, from });
        from = this.#authenticate(socket, { message, challenge });
        if (from !== undefined) handshakeTimer.cancel();
      },
    });
    const challengeMessage = { version: PROTOCOL_VERSION, challenge };
    socket.write(JSON.stringify(challengeMessage) + "\n");
  }

  /**
   * Checks the hello of a client and sends the proof of this instance. Returns
   * the id of the client; closes the connection if the hello is not valid.
   */
  #authenticate(
    socket: Socket,
    step: { readonly message: unknown; readonly challenge: string },
  ): string | undefined {
    const { self, key, log } = this.#options;
    const hello = decode(Hello, step.message);
    const reason = rejectionReason(hello, { ...step, key, self: self.id });
    if (reason !== undefined || hello === undefined) {
      log.warn("peer.rejected", { reason: reason ?? "malformed" });
      socket.destroy();
      return undefined;
    }
    const proof = prove(key, [hello.challenge, self.id]);
    socket.write(JSON.stringify({ id: self.id, proof }) + "\n");
    socket.setTimeout(INBOUND_IDLE_TIMEOUT_MS, () => socket.destroy());
    return hello.id;
  }

  #receive(
    socket: Socket,
    { message, from }: {
      readonly message: Record<string, unknown>;
      readonly from: string;
    },
  ): void {
    if ("ping" in message) {
      socket.write('{"pong":1}\n');
      return;
    }
    if (message.jsonrpc !== "2.0" || typeof message.method !== "string") {
      const response = createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.InvalidRequest,
        "not a JSON-RPC 2.0 request",
      );
      socket.write(JSON.stringify(response) + "\n");
      return;
    }
    const request = message as unknown as JSONRPCRequest;
    this.#rpc.receive(request, from).then((response) => {
      if (response !== null) sendResponse(socket, response);
    });
  }
}

/**
 * Sends a response. Closes the connection of a caller that does not read its
 * responses, as they would otherwise pile up in memory.
 */
function sendResponse(socket: Socket, response: unknown): void {
  if (socket.destroyed) return;
  if (socket.writableLength > MAX_BUFFERED_BYTES) return void socket.destroy();
  writeLine(socket, response);
}

/**
 * Why the hello of a client is rejected, as logged; `undefined` if it is valid.
 * `expected` has the challenge that was sent to the client, the key that both
 * must know, and the id of this instance.
 */
function rejectionReason(
  hello: typeof Hello._A | undefined,
  expected: {
    readonly challenge: string;
    readonly key: string;
    readonly self: string;
  },
): string | undefined {
  if (hello === undefined) return "malformed";
  if (hello.version !== PROTOCOL_VERSION) return "version";
  if (hello.to !== expected.self) return "identity";
  const proof = prove(expected.key, [
    expected.challenge,
    hello.id,
    expected.self,
  ]);
  return equalInConstantTime(hello.proof, proof) ? undefined : "proof";
}

function decodeParams<P>(
  codec: RpcNotification<P>["params"],
  params: unknown,
): P {
  const decoded = decode(codec, params);
  if (decoded !== undefined) return decoded;
  throw new JSONRPCErrorException(
    "the params do not match the schema of the method",
    JSONRPCErrorCode.InvalidParams,
  );
}

function decodeResult<P, R>(call: RpcMethod<P, R>, value: unknown): R {
  const decoded = decode(call.result, value);
  if (decoded !== undefined) return decoded;
  throw {
    type: "peerRefused",
    message: `the result of ${call.method} does not match its schema`,
    code: JSONRPCErrorCode.InternalError,
  } satisfies PeerFailure;
}
