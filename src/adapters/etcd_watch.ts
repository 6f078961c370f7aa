/**
 * A watch through etcd's JSON gateway: a response stream with one JSON message
 * per line, open until one side closes the connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Client, type Dispatcher } from "undici";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Watch, WatchListener } from "../ports/store.ts";
import { decodeJson } from "./decoding.ts";
import { errorResponseFailure, protocolFailure } from "./etcd_failures.ts";
import { prefixRange, toChange, WatchLine } from "./etcd_messages.ts";
import { undiciOptions } from "./exchange.ts";
import { InactivityTimeout } from "./inactivity_timeout.ts";

/** Options of an {@linkcode EtcdWatch}. */
export interface EtcdWatchOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  /** Milliseconds without a message after which the watch ends; progress messages count. */
  readonly idleTimeoutMs: number;
  readonly maxLineBytes: number;
  readonly maxValueBytes: number;
}

/** The keys to watch and the receiver of their changes. */
export interface WatchTarget {
  readonly prefix: string;
  readonly fromRevision: number;
  readonly watcher: WatchListener;
}

const WATCH_PATH = "/v3/watch";
const OK_STATUS = 200;
const LINE_FEED = 10;

/** An open watch, on its own connection. */
export class EtcdWatch implements Watch, Dispatcher.DispatchHandler {
  readonly #options: EtcdWatchOptions;
  readonly #watcher: WatchListener;
  readonly #client: Client;
  readonly #inactivity: InactivityTimeout;
  #ended = false;
  #sent = false;
  #status = 0;
  #buffered = Buffer.alloc(0);

  constructor(target: WatchTarget, options: EtcdWatchOptions) {
    this.#options = options;
    this.#watcher = target.watcher;
    this.#client = new Client(`http://${options.address}`, {
      connectTimeout: options.connectTimeoutMs,
    });
    this.#inactivity = new InactivityTimeout({
      clock: options.clock,
      timeoutMs: options.idleTimeoutMs,
      onTimeout: () => this.#handleTimeout(),
    });
    this.#client.dispatch(undiciOptions(watchRequest(target)), this);
  }

  close(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#inactivity.cancel();
    this.#client.destroy().catch(() => {});
  }

  onRequestStart(): void {
    this.#sent = true;
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number): void {
    this.#status = status;
    this.#inactivity.restart();
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#inactivity.restart();
    this.#buffered = Buffer.concat([this.#buffered, chunk]);
    if (this.#status !== OK_STATUS) return;
    this.#handleLines();
    if (this.#buffered.length <= this.#options.maxLineBytes) return;
    const message = `a message exceeds ${this.#options.maxLineBytes} bytes`;
    this.#end({ type: "storeProtocol", message });
  }

  onResponseEnd(): void {
    if (this.#status === OK_STATUS) {
      this.#handleLine(this.#buffered);
      return this.#end(WATCH_CLOSED);
    }
    const response = { status: this.#status, body: this.#buffered };
    this.#end(errorResponseFailure(response, this.#options.maxValueBytes));
  }

  onResponseError(_: unknown, error: Error): void {
    const type = this.#sent ? "storeAnswerLost" : "storeUnreachable";
    this.#end({ type, message: error.message });
  }

  #handleLines(): void {
    for (
      let end = this.#buffered.indexOf(LINE_FEED);
      end >= 0 && !this.#ended;
      end = this.#buffered.indexOf(LINE_FEED)
    ) {
      const line = this.#buffered.subarray(0, end);
      this.#buffered = this.#buffered.subarray(end + 1);
      this.#handleLine(line);
    }
  }

  #handleLine(line: Buffer): void {
    if (line.length === 0) return;
    decodeJson(WatchLine, line).match(
      ({ result }) => this.#deliver(result),
      (failure) => this.#end(protocolFailure(failure)),
    );
  }

  #deliver(result: WatchLine["result"]): void {
    if (result.canceled) {
      const { compact_revision: compacted, cancel_reason: reason } = result;
      const message = reason ??
        `revisions up to ${compacted} have been compacted`;
      return this.#end({ type: "storeAnswerLost", message });
    }
    const changes = (result.events ?? []).map(toChange);
    if (changes.length > 0) this.#watcher.changed(changes);
  }

  #handleTimeout(): void {
    const message = `no message for ${this.#options.idleTimeoutMs} ms`;
    const type = this.#sent ? "storeAnswerLost" : "storeUnreachable";
    this.#end({ type, message });
  }

  #end(failure: StoreFailure): void {
    if (this.#ended) return;
    this.close();
    this.#watcher.ended(failure);
  }
}

const WATCH_CLOSED: StoreFailure = {
  type: "storeAnswerLost",
  message: "the service closed the watch",
};

function watchRequest(target: WatchTarget) {
  const create_request = {
    ...prefixRange(target.prefix),
    start_revision: String(target.fromRevision),
    progress_notify: true,
  };
  return {
    method: "POST",
    path: WATCH_PATH,
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ create_request })),
  };
}
