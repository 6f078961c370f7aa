/**
 * A watch of etcd's JSON gateway: one JSON message a line for as long as the
 * connection lasts.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Client, type Dispatcher } from "undici";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Watch, Watcher } from "../ports/store.ts";
import { decodeJson } from "./decoding.ts";
import { protocolFailure, refusalFailure } from "./etcd_failures.ts";
import { changeOf, prefixRange, WatchLine } from "./etcd_messages.ts";
import { dispatchOptions } from "./exchange.ts";
import { ProgressDeadline } from "./progress_deadline.ts";

/** Settings of a watch. */
export interface EtcdWatchOptions {
  readonly address: string;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  /** Time without a message, progress messages included, after which the watch ends. */
  readonly idleTimeoutMs: number;
  readonly maxLineBytes: number;
  readonly valueLimitBytes: number;
}

/** What is watched. */
export interface WatchTarget {
  readonly prefix: string;
  readonly fromRevision: number;
  readonly watcher: Watcher;
}

const WATCH_PATH = "/v3/watch";
const OK_STATUS = 200;
const LINE_FEED = 10;

/** A running watch on a connection of its own. */
export class EtcdWatch implements Watch, Dispatcher.DispatchHandler {
  readonly #options: EtcdWatchOptions;
  readonly #watcher: Watcher;
  readonly #client: Client;
  readonly #idle: ProgressDeadline;
  #ended = false;
  #sent = false;
  #status = 0;
  #rest = Buffer.alloc(0);

  constructor(target: WatchTarget, options: EtcdWatchOptions) {
    this.#options = options;
    this.#watcher = target.watcher;
    this.#client = new Client(`http://${options.address}`, {
      connectTimeout: options.connectTimeoutMs,
    });
    this.#idle = new ProgressDeadline({
      clock: options.clock,
      timeoutMs: options.idleTimeoutMs,
      expired: () => this.#expire(),
    });
    this.#client.dispatch(dispatchOptions(watchRequest(target)), this);
  }

  close(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#idle.cancel();
    this.#client.destroy().catch(() => {});
  }

  onRequestStart(): void {
    this.#sent = true;
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number): void {
    this.#status = status;
    this.#idle.progress();
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#idle.progress();
    this.#rest = Buffer.concat([this.#rest, chunk]);
    if (this.#status !== OK_STATUS) return;
    this.#takeLines();
    if (this.#rest.length <= this.#options.maxLineBytes) return;
    const message = `a message exceeds ${this.#options.maxLineBytes} bytes`;
    this.#end({ type: "storeProtocol", message });
  }

  onResponseEnd(): void {
    if (this.#status === OK_STATUS) {
      this.#take(this.#rest);
      return this.#end(CLOSED);
    }
    const answer = { status: this.#status, body: this.#rest };
    this.#end(refusalFailure(answer, this.#options.valueLimitBytes));
  }

  onResponseError(_: unknown, error: Error): void {
    const type = this.#sent ? "storeAnswerLost" : "storeUnreachable";
    this.#end({ type, message: error.message });
  }

  #takeLines(): void {
    for (
      let end = this.#rest.indexOf(LINE_FEED);
      end >= 0 && !this.#ended;
      end = this.#rest.indexOf(LINE_FEED)
    ) {
      const line = this.#rest.subarray(0, end);
      this.#rest = this.#rest.subarray(end + 1);
      this.#take(line);
    }
  }

  #take(line: Buffer): void {
    if (line.length === 0) return;
    decodeJson(WatchLine, line).match(
      ({ result }) => this.#deliver(result),
      (failure) => this.#end(protocolFailure(failure)),
    );
  }

  #deliver(result: WatchLine["result"]): void {
    if (result.canceled) {
      const { compact_revision: compacted, cancel_reason: reason } = result;
      const message = reason ?? `history starts after revision ${compacted}`;
      return this.#end({ type: "storeAnswerLost", message });
    }
    const changes = (result.events ?? []).map(changeOf);
    if (changes.length > 0) this.#watcher.changed(changes);
  }

  #expire(): void {
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

const CLOSED: StoreFailure = {
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
