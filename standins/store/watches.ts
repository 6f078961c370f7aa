/**
 * Watches: streams of change events, one JSON message per line.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Faults } from "./faults.ts";
import { keyFromBase64, keyToBase64 } from "./messages.ts";
import { type Event, inRange, keyOf, type State } from "./state.ts";
import { encodeHeader, encodeKeyValue, type Message } from "./transactions.ts";

/** Parameters of a watch request. */
export interface WatchOptions {
  readonly key?: string;
  readonly range_end?: string;
  readonly start_revision?: string | number;
  readonly progress_notify?: boolean;
}

/** Serves watches and counts the open ones. */
export class Watches {
  readonly #state: State;
  readonly #faults: Faults;
  readonly #progressIntervalMs: number;
  #openCount = 0;

  constructor(
    state: State,
    options: { readonly faults: Faults; readonly progressMs: number },
  ) {
    this.#state = state;
    this.#faults = options.faults;
    this.#progressIntervalMs = options.progressMs;
  }

  /** Number of open watches. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Streams events until the client disconnects. A start revision that has been
   * compacted cancels the watch.
   */
  serve(response: ServerResponse, options: WatchOptions): void {
    response.writeHead(200, { "content-type": "application/json" });
    const start = Number(options.start_revision ?? 0);
    this.#send(response, { created: true });
    if (start > 0 && start <= this.#state.compacted) {
      return this.#cancel(response);
    }
    this.#stream(response, options);
    if (start > 0) {
      this.#sendEvents(response, options, this.#state.eventsSince(start));
    }
  }

  #stream(response: ServerResponse, options: WatchOptions): void {
    const unsubscribe = this.#state.subscribe((events) =>
      this.#sendEvents(response, options, events)
    );
    const progress = setInterval(() => {
      if (options.progress_notify) this.#send(response, {});
    }, this.#progressIntervalMs);
    this.#openCount += 1;
    response.once("close", () => {
      this.#openCount -= 1;
      unsubscribe();
      clearInterval(progress);
    });
  }

  #sendEvents(
    response: ServerResponse,
    options: WatchOptions,
    events: readonly Event[],
  ): void {
    const start = keyFromBase64(options.key);
    const end = keyFromBase64(options.range_end);
    const matching = events.filter((event) =>
      inRange(keyOf(event), start, end)
    );
    if (matching.length === 0) return;
    this.#send(response, { events: matching.map(encodeEvent) });
  }

  #cancel(response: ServerResponse): void {
    const compact_revision = String(this.#state.compacted);
    this.#send(response, { canceled: true, compact_revision });
    response.end();
  }

  #send(response: ServerResponse, message: Message): void {
    if (this.#faults.silentWatches || this.#faults.outage !== false) return;
    const result = { header: encodeHeader(this.#state), ...message };
    response.write(`${JSON.stringify({ result })}\n`);
  }
}

function encodeEvent(event: Event): Message {
  switch (event.type) {
    case "put":
      return { kv: encodeKeyValue(event.kv) };
    case "delete":
      return {
        type: "DELETE",
        kv: {
          key: keyToBase64(event.key),
          mod_revision: String(event.modRevision),
        },
      };
  }
}
