/**
 * Watches: streams of changes, one JSON message a line.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Faults } from "./faults.ts";
import { keyFromBase64, keyToBase64 } from "./messages.ts";
import { type Event, inRange, keyOf, type State } from "./state.ts";
import { header, keyValueMessage, type Message } from "./transactions.ts";

/** What a watch asks for. */
export interface WatchOptions {
  readonly key?: string;
  readonly range_end?: string;
  readonly start_revision?: string | number;
  readonly progress_notify?: boolean;
}

/** Open watches. */
export class Watches {
  readonly #state: State;
  readonly #faults: Faults;
  readonly #progressMs: number;
  #open = 0;

  constructor(
    state: State,
    options: { readonly faults: Faults; readonly progressMs: number },
  ) {
    this.#state = state;
    this.#faults = options.faults;
    this.#progressMs = options.progressMs;
  }

  /** Watches that are open now. */
  get open(): number {
    return this.#open;
  }

  /** Streams changes until the client goes away. */
  serve(response: ServerResponse, options: WatchOptions): void {
    response.writeHead(200, { "content-type": "application/json" });
    const start = Number(options.start_revision ?? 0);
    this.#send(response, { created: true });
    if (start > 0 && start <= this.#state.compacted) {
      return this.#cancel(response);
    }
    this.#stream(response, options);
    if (start > 0) {
      this.#sendEvents(response, options, this.#state.since(start));
    }
  }

  #stream(response: ServerResponse, options: WatchOptions): void {
    const unsubscribe = this.#state.subscribe((events) =>
      this.#sendEvents(response, options, events)
    );
    const progress = setInterval(() => {
      if (options.progress_notify) this.#send(response, {});
    }, this.#progressMs);
    this.#open += 1;
    response.once("close", () => {
      this.#open -= 1;
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
    const wanted = events.filter((event) => inRange(keyOf(event), start, end));
    if (wanted.length === 0) return;
    this.#send(response, { events: wanted.map(eventMessage) });
  }

  #cancel(response: ServerResponse): void {
    const compact_revision = String(this.#state.compacted);
    this.#send(response, { canceled: true, compact_revision });
    response.end();
  }

  #send(response: ServerResponse, message: Message): void {
    if (this.#faults.silentWatches || this.#faults.outage !== false) return;
    const result = { header: header(this.#state), ...message };
    response.write(`${JSON.stringify({ result })}\n`);
  }
}

function eventMessage(event: Event): Message {
  switch (event.type) {
    case "put":
      return { kv: keyValueMessage(event.kv) };
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
