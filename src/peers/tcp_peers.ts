/**
 * The other instances over TCP: one outbound link to each for this instance's
 * calls, and a listener for theirs.
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
import type { Call, Notice, Peers } from "../ports/peers.ts";
import type { Instance } from "../types.ts";
import {
  decode,
  Hello,
  newChallenge,
  PROTOCOL_VERSION,
  prove,
  sameProof,
} from "./handshake.ts";
import {
  GREETING_LIMIT_CHARS,
  LINE_LIMIT_CHARS,
  parseLine,
  readLines,
  writeLine,
} from "./lines.ts";
import { BACKLOG_LIMIT_BYTES, Outbound, splitAddress } from "./outbound.ts";

/** A caller that has not proved itself for so long is cut off, milliseconds. */
const HANDSHAKE_MS = 2_000;
/** An inbound link without a byte for so long is closed, milliseconds. */
const INBOUND_SILENCE_MS = 5_000;

/** What the network of instances needs. */
export interface TcpPeersOptions {
  readonly self: Instance;
  /** `host:port` to listen on. */
  readonly listen: string;
  readonly key: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** {@linkcode Peers} over TCP. */
export class TcpPeers implements Peers {
  readonly #options: TcpPeersOptions;
  readonly #links = new Map<string, Outbound>();
  readonly #rpc = new JSONRPCServer<string>({ errorListener: () => {} });
  readonly #lostHandlers: ((peer: string) => void)[] = [];
  readonly #inbound = new Set<Socket>();
  readonly #server: Server;

  constructor(options: TcpPeersOptions) {
    this.#options = options;
    this.#server = createServer(
      { noDelay: true },
      (socket) => this.#accept(socket),
    );
  }

  /** Starts to listen. */
  listening(): Promise<void> {
    const [host, port] = splitAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Sets the peers that there are; links to others end after their last call. */
  setMembers(members: readonly Instance[]): void {
    const wanted = new Map(members.map((member) => [member.id, member]));
    wanted.delete(this.#options.self.id);
    for (const [id, link] of this.#links) {
      if (wanted.has(id)) continue;
      link.retire();
      this.#links.delete(id);
    }
    for (const member of wanted.values()) {
      if (!this.#links.has(member.id)) this.#open(member);
    }
  }

  /** Whether calls to a peer go through now. */
  linked(peer: string): boolean {
    return this.#links.get(peer)?.ready ?? false;
  }

  call<P, R>(
    peer: string,
    call: Call<P, R>,
    options: { readonly params: P; readonly timeoutMs: number },
  ): ResultAsync<R, PeerFailure> {
    const link = this.#links.get(peer);
    if (link === undefined) {
      return errAsync({ type: "peerUnreached", message: "unknown peer" });
    }
    const answer = link
      .call(call.method, {
        params: call.params.encode(options.params),
        timeoutMs: options.timeoutMs,
      })
      .then((value) => checked(call, value));
    return ResultAsync.fromPromise(answer, (error) => error as PeerFailure);
  }

  notify<P>(peer: string, notice: Notice<P>, params: P): void {
    this.#links.get(peer)?.notify(notice.method, notice.params.encode(params));
  }

  serve<P, R>(
    call: Call<P, R>,
    handler: (params: P, from: string) => Promise<R> | R,
  ): void {
    this.#rpc.addMethod(call.method, async (params, from) => {
      const given = decodeParams(call.params, params);
      return call.result.encode(await handler(given, from));
    });
  }

  listen<P>(
    notice: Notice<P>,
    handler: (params: P, from: string) => void,
  ): void {
    this.#rpc.addMethod(notice.method, (params, from) => {
      handler(decodeParams(notice.params, params), from);
    });
  }

  onLost(handler: (peer: string) => void): void {
    this.#lostHandlers.push(handler);
  }

  /** Ends every link and stops listening. */
  close(): void {
    this.#server.close();
    for (const link of this.#links.values()) link.close();
    for (const socket of this.#inbound) socket.destroy();
    this.#links.clear();
  }

  #open(member: Instance): void {
    const { self, key, clock, log } = this.#options;
    const link = new Outbound({
      self: self.id,
      peer: member.id,
      address: member.peerAddress,
      key,
      clock,
      log,
      onLost: () => this.#lostHandlers.forEach((lost) => lost(member.id)),
    });
    this.#links.set(member.id, link);
  }

  #accept(socket: Socket): void {
    const challenge = newChallenge();
    let from: string | undefined;
    this.#inbound.add(socket);
    const greeting = this.#options.clock.after(
      HANDSHAKE_MS,
      () => socket.destroy(),
    );
    socket.on("error", () => {});
    socket.on("close", () => {
      greeting.cancel();
      this.#inbound.delete(socket);
    });
    readLines(socket, {
      limitChars: () =>
        from === undefined ? GREETING_LIMIT_CHARS : LINE_LIMIT_CHARS,
      onLine: (line) => {
        const message = parseLine(line);
        if (message === undefined) return socket.destroy();
        if (from !== undefined) return this.#receive(socket, { message, from });
        from = this.#greet(socket, { message, challenge });
        if (from !== undefined) greeting.cancel();
      },
    });
    const first = { version: PROTOCOL_VERSION, challenge };
    socket.write(JSON.stringify(first) + "\n");
  }

  #greet(
    socket: Socket,
    step: { readonly message: unknown; readonly challenge: string },
  ): string | undefined {
    const { self, key, log } = this.#options;
    const hello = decode(Hello, step.message);
    const refusal = refusalOf(hello, { ...step, key, self: self.id });
    if (refusal !== undefined || hello === undefined) {
      log.warn("peer.rejected", { reason: refusal ?? "malformed" });
      socket.destroy();
      return undefined;
    }
    const proof = prove(key, [hello.challenge, self.id]);
    socket.write(JSON.stringify({ id: self.id, proof }) + "\n");
    socket.setTimeout(INBOUND_SILENCE_MS, () => socket.destroy());
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
      const refusal = createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.InvalidRequest,
        "no JSON-RPC 2.0 request",
      );
      socket.write(JSON.stringify(refusal) + "\n");
      return;
    }
    const request = message as unknown as JSONRPCRequest;
    this.#rpc.receive(request, from).then((answer) => {
      if (answer !== null) send(socket, answer);
    });
  }
}

/** Sends an answer; a caller that does not read its answers is cut off. */
function send(socket: Socket, answer: unknown): void {
  if (socket.destroyed) return;
  if (socket.writableLength > BACKLOG_LIMIT_BYTES) return void socket.destroy();
  writeLine(socket, answer);
}

function refusalOf(
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
  return sameProof(hello.proof, proof) ? undefined : "proof";
}

function decodeParams<P>(codec: Notice<P>["params"], params: unknown): P {
  const given = decode(codec, params);
  if (given !== undefined) return given;
  throw new JSONRPCErrorException(
    "params do not match the method",
    JSONRPCErrorCode.InvalidParams,
  );
}

function checked<P, R>(call: Call<P, R>, value: unknown): R {
  const decoded = decode(call.result, value);
  if (decoded !== undefined) return decoded;
  throw {
    type: "peerRefused",
    message: `the answer of ${call.method} does not match the protocol`,
    code: JSONRPCErrorCode.InternalError,
  } satisfies PeerFailure;
}
