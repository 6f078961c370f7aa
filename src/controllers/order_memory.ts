/**
 * What an owner remembers of the orders that it was sent, so that none is
 * started twice or after its holder has counted it as not started.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Orders are remembered for so long beyond their timeouts, milliseconds. */
const ORDER_MEMORY_MS = 15_000;

/** What became of an order. */
export type OrderState =
  | { readonly type: "started"; readonly worker: string }
  /** Came too late: its holder has counted it as not started. */
  | { readonly type: "barred" };

interface Entry {
  readonly state: OrderState;
  readonly untilMs: number;
}

/** The orders by id. */
export class OrderMemory {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** What became of an order; `undefined` if nothing did. */
  state(id: string): OrderState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** An order is about to be sent to a worker. */
  started(
    id: string,
    sent: { readonly worker: string; readonly timeoutMs: number },
  ): void {
    const { timeoutMs, worker } = sent;
    this.#put(id, { state: { type: "started", worker }, timeoutMs });
  }

  /** Bars an order from being started; `false` if it was started before. */
  bar(id: string): boolean {
    if (this.state(id)?.type === "started") return false;
    this.#put(id, { state: { type: "barred" }, timeoutMs: 0 });
    return true;
  }

  /** The worker did not run an order after all. */
  forget(id: string): void {
    this.#entries.delete(id);
  }

  #put(
    id: string,
    { state, timeoutMs }: {
      readonly state: OrderState;
      readonly timeoutMs: number;
    },
  ): void {
    const nowMs = this.#clock.monotonic();
    const untilMs = nowMs + timeoutMs + ORDER_MEMORY_MS;
    this.#entries.set(id, { state, untilMs });
    for (const [oldest, entry] of this.#entries) {
      if (nowMs < entry.untilMs) return;
      this.#entries.delete(oldest);
    }
  }
}
