/**
 * The link on which this instance calls one peer.
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
  Hello,
  newChallenge,
  PROTOCOL_VERSION,
  prove,
  sameProof,
  Welcome,
} from "./handshake.ts";
import {
  GREETING_LIMIT_CHARS,
  LINE_LIMIT_CHARS,
  parseLine,
  readLines,
  writeLine,
} from "./lines.ts";

/** Time between signs of life on a link, milliseconds. */
export const PING_MS = 500;
/** A link without a byte for so long is replaced, milliseconds. */
export const SILENCE_MS = 2_000;
/** Time before a broken link is dialled again, milliseconds. */
const REDIAL_MS = 200;
/** A check that comes so late tells of a pause of this process, milliseconds. */
const LATE_CHECK_MS = 2 * PING_MS;
/** Bytes that may wait to be sent on a link. */
export const BACKLOG_LIMIT_BYTES = 64 * 1024 * 1024;

/** What a link needs to know. */
export interface OutboundOptions {
  readonly self: string;
  readonly peer: string;
  /** `host:port`. */
  readonly address: string;
  readonly key: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly onLost: () => void;
}

type Waiter = (failure: PeerFailure) => void;

/** Dials a peer, keeps the link alive and carries calls. */
export class Outbound {
  readonly #options: OutboundOptions;
  readonly #client: JSONRPCClient;
  readonly #waiters = new Set<Waiter>();
  #socket: Socket | undefined;
  #ready = false;
  #closed = false;
  #retiring = false;
  #heardAtMs = 0;
  #checkedAtMs = 0;
  #timer: Timer | undefined;
  #opening: Promise<void> = Promise.resolve();

  constructor(options: OutboundOptions) {
    this.#options = options;
    this.#client = new JSONRPCClient((message) => {
      if (this.#socket !== undefined) writeLine(this.#socket, message);
    });
    this.#dial();
  }

  /** Whether the link carries calls now. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Calls a method. Rejects with a {@linkcode PeerFailure}. */
  async call(
    method: string,
    { params, timeoutMs }: {
      readonly params: unknown;
      readonly timeoutMs: number;
    },
  ): Promise<unknown> {
    const { clock } = this.#options;
    const startedAtMs = clock.monotonic();
    if (!this.#ready) await this.#opened(timeoutMs);
    if (!this.#usable()) throw unreached("no link to the peer");
    const leftMs = timeoutMs - (clock.monotonic() - startedAtMs);
    return await new Promise((resolve, reject) => {
      const waiter: Waiter = (failure) => settle(() => reject(failure));
      const settle = (action: () => void) => {
        timer.cancel();
        this.#waiters.delete(waiter);
        action();
        if (this.#retiring && this.#waiters.size === 0) this.close();
      };
      const timer = clock.after(
        leftMs,
        () => waiter(silent("no answer in time")),
      );
      this.#waiters.add(waiter);
      this.#client.request(method, params).then(
        (result) => settle(() => resolve(result)),
        (error) => settle(() => reject(refused(error))),
      );
    });
  }

  /** Sends a one-way message if the link is up. */
  notify(method: string, params: unknown): void {
    if (this.#usable()) this.#client.notify(method, params);
  }

  /** Ends the link once no call waits on it. */
  retire(): void {
    this.#retiring = true;
    if (this.#waiters.size === 0) this.close();
  }

  /** Ends the link for good. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
    this.#socket?.destroy();
  }

  /** Waits for the link to open or to fail, `timeoutMs` at most. */
  async #opened(timeoutMs: number): Promise<void> {
    let timer: Timer | undefined;
    const late = new Promise<void>((resolve) => {
      timer = this.#options.clock.after(timeoutMs, resolve);
    });
    await Promise.race([this.#opening, late]);
    timer?.cancel();
  }

  #usable(): boolean {
    const waiting = this.#socket?.writableLength ?? 0;
    return this.#ready && waiting < BACKLOG_LIMIT_BYTES;
  }

  #dial(): void {
    const [host, port] = splitAddress(this.#options.address);
    const socket = connect({ host, port, noDelay: true });
    let opened = () => {};
    this.#opening = new Promise((resolve) => opened = resolve);
    this.#socket = socket;
    this.#heardAtMs = this.#options.clock.monotonic();
    const challenge = newChallenge();
    readLines(socket, {
      limitChars: () => this.#ready ? LINE_LIMIT_CHARS : GREETING_LIMIT_CHARS,
      onLine: (line) => {
        this.#heardAtMs = this.#options.clock.monotonic();
        const message = parseLine(line);
        if (message === undefined) return socket.destroy();
        if (this.#ready) return this.#receive(message);
        this.#shake(socket, { message, challenge });
        if (this.#ready) opened();
      },
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      opened();
      this.#lost();
    });
    this.#watch();
  }

  #shake(
    socket: Socket,
    step: { readonly message: unknown; readonly challenge: string },
  ): void {
    const { self, peer, key, log } = this.#options;
    const asked = decode(Challenge, step.message);
    if (asked !== undefined) {
      if (asked.version !== PROTOCOL_VERSION) {
        log.warn("peer.version", { peer, version: asked.version });
        socket.destroy();
        return;
      }
      const hello: typeof Hello._A = {
        version: PROTOCOL_VERSION,
        id: self,
        to: peer,
        proof: prove(key, [asked.challenge, self, peer]),
        challenge: step.challenge,
      };
      socket.write(JSON.stringify(hello) + "\n");
      return;
    }
    const welcome = decode(Welcome, step.message);
    const proof = prove(key, [step.challenge, peer]);
    if (
      welcome === undefined || welcome.id !== peer ||
      !sameProof(welcome.proof, proof)
    ) {
      log.warn("peer.refused", { peer });
      socket.destroy();
      return;
    }
    this.#ready = true;
    log.debug("peer.linked", { peer });
  }

  #receive(message: Record<string, unknown>): void {
    if ("pong" in message) return;
    this.#client.receive(message as unknown as JSONRPCResponse);
  }

  #watch(): void {
    const { clock } = this.#options;
    this.#timer?.cancel();
    this.#checkedAtMs = clock.monotonic();
    this.#timer = clock.after(PING_MS, () => {
      const now = clock.monotonic();
      const late = now - this.#checkedAtMs > LATE_CHECK_MS;
      if (late) this.#heardAtMs = now;
      if (now - this.#heardAtMs > SILENCE_MS) {
        this.#socket?.destroy();
        return;
      }
      if (this.#ready) this.#socket?.write('{"ping":1}\n');
      this.#watch();
    });
  }

  #lost(): void {
    const wasReady = this.#ready;
    this.#ready = false;
    this.#timer?.cancel();
    const waiters = [...this.#waiters];
    for (const waiter of waiters) waiter(silent("the link to the peer broke"));
    this.#client.rejectAllPendingRequests("link lost");
    if (wasReady) this.#options.onLost();
    if (this.#closed || this.#retiring) return;
    this.#timer = this.#options.clock.after(REDIAL_MS, () => this.#dial());
  }
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return [host, Number(address.slice(colon + 1))];
}

function unreached(message: string): PeerFailure {
  return { type: "peerUnreached", message };
}

function silent(message: string): PeerFailure {
  return { type: "peerSilent", message };
}

function refused(error: unknown): PeerFailure {
  const { code, message } = error as { code?: number; message?: string };
  return {
    type: "peerRefused",
    code: code ?? 0,
    message: message ?? "the peer refused the call",
  };
}
