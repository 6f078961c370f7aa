/**
 * The connection over which this instance calls one peer.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { JSONRPCClient, type JSONRPCResponse } from "json-rpc-2.0";
import type { Clock, Timer } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import {
  Challenge,
  decode,
  equalInConstantTime,
  Hello,
  newChallenge,
  PROTOCOL_VERSION,
  prove,
  Welcome,
} from "./handshake.ts";
import {
  MAX_HANDSHAKE_LINE_CHARS,
  MAX_LINE_CHARS,
  parseLine,
  readLines,
  writeLine,
} from "./json_lines.ts";

/** Interval of the pings on a connection. */
export const PING_INTERVAL_MS = 500;
/** A connection that receives nothing for this time is closed and replaced. */
export const SILENCE_TIMEOUT_MS = 2_000;
/** Delay before a closed connection is opened again. */
const RECONNECT_DELAY_MS = 200;
/**
 * A check that runs more than this time after the previous one shows that this
 * process was paused.
 */
const MIN_PAUSE_MS = 2 * PING_INTERVAL_MS;
/** Most bytes that may be buffered for sending on one connection. */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Options of {@linkcode OutboundConnection}. */
export interface OutboundConnectionOptions {
  /** Id of this instance. */
  readonly self: string;
  /** Id of the peer. */
  readonly peer: string;
  /** `host:port` of the peer. */
  readonly address: string;
  /** Secret shared by all instances. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when an established connection has closed. */
  readonly onDisconnect: () => void;
}

type RejectCall = (failure: PeerFailure) => void;

/**
 * Connects to a peer, reconnects after each failure, detects a silent peer with
 * pings, and sends calls.
 */
export class OutboundConnection {
  readonly #options: OutboundConnectionOptions;
  readonly #client: JSONRPCClient;
  /** Functions that fail the calls in flight. */
  readonly #pendingCalls = new Set<RejectCall>();
  #socket: Socket | undefined;
  #ready = false;
  #closed = false;
  /** Whether to close after the last call in flight. */
  #closing = false;
  /** Monotonic time of the last line received, or of the connection attempt. */
  #lastReceivedAtMs = 0;
  #lastCheckAtMs = 0;
  /** Next check, or the next attempt to connect. */
  #timer: Timer | undefined;
  /** Resolves when the current handshake has completed or failed. */
  #handshakeSettled: Promise<void> = Promise.resolve();

  constructor(options: OutboundConnectionOptions) {
    this.#options = options;
    this.#client = new JSONRPCClient((message) => {
      if (this.#socket !== undefined) writeLine(this.#socket, message);
    });
    this.#connect();
  }

  /** Whether the handshake is complete and calls can be sent. */
  get ready(): boolean {
    return this.#ready;
  }

  /**
   * Calls a method. Waits for the handshake if the connection is still opening;
   * `timeoutMs` covers that wait too. Rejects with a {@linkcode PeerFailure}.
   */
  async call(
    method: string,
    { params, timeoutMs }: {
      readonly params: unknown;
      readonly timeoutMs: number;
    },
  ): Promise<unknown> {
    const { clock } = this.#options;
    const startedAtMs = clock.monotonic();
    if (!this.#ready) await this.#waitForHandshake(timeoutMs);
    if (!this.#canSend()) throw unreachedFailure("not connected to the peer");
    const remainingMs = timeoutMs - (clock.monotonic() - startedAtMs);
    return await new Promise((resolve, reject) => {
      const rejectCall: RejectCall = (failure) => settle(() => reject(failure));
      const settle = (action: () => void) => {
        timer.cancel();
        this.#pendingCalls.delete(rejectCall);
        action();
        if (this.#closing && this.#pendingCalls.size === 0) this.close();
      };
      const timer = clock.after(
        remainingMs,
        () => rejectCall(silentFailure("no response before the timeout")),
      );
      this.#pendingCalls.add(rejectCall);
      this.#client.request(method, params).then(
        (result) => settle(() => resolve(result)),
        (error) => settle(() => reject(refusedFailure(error))),
      );
    });
  }

  /** Sends a notification; drops it if the connection is not ready. */
  notify(method: string, params: unknown): void {
    if (this.#canSend()) this.#client.notify(method, params);
  }

  /** Closes the connection once no call is in flight. */
  closeWhenIdle(): void {
    this.#closing = true;
    if (this.#pendingCalls.size === 0) this.close();
  }

  /** Closes the connection and does not reconnect. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
    this.#socket?.destroy();
  }

  /** Waits at most `timeoutMs` for the handshake to complete or fail. */
  async #waitForHandshake(timeoutMs: number): Promise<void> {
    let timer: Timer | undefined;
    const timedOut = new Promise<void>((resolve) => {
      timer = this.#options.clock.after(timeoutMs, resolve);
    });
    await Promise.race([this.#handshakeSettled, timedOut]);
    timer?.cancel();
  }

  #canSend(): boolean {
    const bufferedBytes = this.#socket?.writableLength ?? 0;
    return this.#ready && bufferedBytes < MAX_BUFFERED_BYTES;
  }

  #connect(): void {
    const [host, port] = splitAddress(this.#options.address);
    const socket = connect({ host, port, noDelay: true });
    let settleHandshake = () => {};
    this.#handshakeSettled = new Promise((resolve) =>
      settleHandshake = resolve
    );
    this.#socket = socket;
    this.#lastReceivedAtMs = this.#options.clock.monotonic();
    const challenge = newChallenge();
    readLines(socket, {
      maxChars: () => this.#ready ? MAX_LINE_CHARS : MAX_HANDSHAKE_LINE_CHARS,
      onLine: (line) => {
        this.#lastReceivedAtMs = this.#options.clock.monotonic();
        const message = parseLine(line);
        if (message === undefined) return socket.destroy();
        if (this.#ready) return this.#handleMessage(message);
        this.#continueHandshake(socket, { message, challenge });
        if (this.#ready) settleHandshake();
      },
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      settleHandshake();
      this.#handleClose();
    });
    this.#scheduleCheck();
  }

  #continueHandshake(
    socket: Socket,
    step: { readonly message: unknown; readonly challenge: string },
  ): void {
    const { self, peer, key, log } = this.#options;
    const challengeMessage = decode(Challenge, step.message);
    if (challengeMessage !== undefined) {
      if (challengeMessage.version !== PROTOCOL_VERSION) {
        log.warn("peer.version", { peer, version: challengeMessage.version });
        socket.destroy();
        return;
      }
      const hello: typeof Hello._A = {
        version: PROTOCOL_VERSION,
        id: self,
        to: peer,
        proof: prove(key, [challengeMessage.challenge, self, peer]),
        challenge: step.challenge,
      };
      socket.write(JSON.stringify(hello) + "\n");
      return;
    }
    const welcome = decode(Welcome, step.message);
    const proof = prove(key, [step.challenge, peer]);
    if (
      welcome === undefined || welcome.id !== peer ||
      !equalInConstantTime(welcome.proof, proof)
    ) {
      log.warn("peer.refused", { peer });
      socket.destroy();
      return;
    }
    this.#ready = true;
    log.debug("peer.linked", { peer });
  }

  #handleMessage(message: Record<string, unknown>): void {
    if ("pong" in message) return;
    this.#client.receive(message as unknown as JSONRPCResponse);
  }

  #scheduleCheck(): void {
    const { clock } = this.#options;
    this.#timer?.cancel();
    this.#lastCheckAtMs = clock.monotonic();
    this.#timer = clock.after(PING_INTERVAL_MS, () => {
      const now = clock.monotonic();
      const wasPaused = now - this.#lastCheckAtMs > MIN_PAUSE_MS;
      // Data that arrived during the pause may still be unread.
      if (wasPaused) this.#lastReceivedAtMs = now;
      if (now - this.#lastReceivedAtMs > SILENCE_TIMEOUT_MS) {
        this.#socket?.destroy();
        return;
      }
      if (this.#ready) this.#socket?.write('{"ping":1}\n');
      this.#scheduleCheck();
    });
  }

  #handleClose(): void {
    const wasReady = this.#ready;
    this.#ready = false;
    this.#timer?.cancel();
    const calls = [...this.#pendingCalls];
    for (const reject of calls) reject(silentFailure("the connection closed"));
    this.#client.rejectAllPendingRequests("connection closed");
    if (wasReady) this.#options.onDisconnect();
    if (this.#closed || this.#closing) return;
    this.#timer = this.#options.clock.after(
      RECONNECT_DELAY_MS,
      () => this.#connect(),
    );
  }
}

/** Splits `host:port`; removes the brackets of an IPv6 address. */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return [host, Number(address.slice(colon + 1))];
}

function unreachedFailure(message: string): PeerFailure {
  return { type: "peerUnreached", message };
}

function silentFailure(message: string): PeerFailure {
  return { type: "peerSilent", message };
}

function refusedFailure(error: unknown): PeerFailure {
  const { code, message } = error as { code?: number; message?: string };
  return {
    type: "peerRefused",
    code: code ?? 0,
    message: message ?? "the peer returned an error without a message",
  };
}
