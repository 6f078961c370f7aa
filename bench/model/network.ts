/**
 * Simulated links between instances, with a fixed latency and a count of messages.
 *
 * @module
 */
import type { EventQueue } from "./event_queue.ts";

/** Types of messages; `news` is a load report, `ready` an offer of capacity. */
export type MessageType = "news" | "run" | "answer" | "ready" | "decline";

/** Receiver of messages. */
export interface Endpoint {
  readonly id: string;
  /** Messages to an endpoint that is not alive are dropped. */
  readonly alive: boolean;
}

/** All links of a simulation. */
export class Network {
  readonly counts: Record<MessageType, number> = {
    news: 0,
    run: 0,
    answer: 0,
    ready: 0,
    decline: 0,
  };
  readonly #events: EventQueue;
  readonly #hopMs: number;

  constructor(events: EventQueue, hopMs: number) {
    this.#events = events;
    this.#hopMs = hopMs;
  }

  /** Delivers a message after the latency of one hop, unless the receiver has failed by then. */
  send(to: Endpoint, type: MessageType, deliver: () => void): void {
    this.counts[type]++;
    this.#events.after(this.#hopMs, () => {
      if (to.alive) deliver();
    });
  }

  /** Number of messages sent. */
  get total(): number {
    return Object.values(this.counts).reduce((a, b) => a + b, 0);
  }
}
