/**
 * Links between instances: a latency and a count of messages.
 *
 * @module
 */
import type { Events } from "./events.ts";

/** Kinds of messages. */
export type MessageType = "news" | "run" | "answer" | "ready" | "decline";

/** An end of a link. */
export interface Endpoint {
  readonly id: string;
  /** A dead endpoint receives nothing. */
  readonly alive: boolean;
}

/** The links. */
export class Network {
  readonly counts: Record<MessageType, number> = {
    news: 0,
    run: 0,
    answer: 0,
    ready: 0,
    decline: 0,
  };
  readonly #events: Events;
  readonly #hopMs: number;

  constructor(events: Events, hopMs: number) {
    this.#events = events;
    this.#hopMs = hopMs;
  }

  /** Delivers a message one hop later, unless the receiver is dead by then. */
  send(to: Endpoint, type: MessageType, deliver: () => void): void {
    this.counts[type]++;
    this.#events.after(this.#hopMs, () => {
      if (to.alive) deliver();
    });
  }

  /** All messages sent. */
  get total(): number {
    return Object.values(this.counts).reduce((a, b) => a + b, 0);
  }
}
