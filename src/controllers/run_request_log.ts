/**
 * The run requests that an owner has received, kept so that none of them is
 * started twice, or started after its origin has counted it as not started.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Time for which run requests are kept beyond their timeouts, milliseconds. */
const RUN_REQUEST_TTL_MS = 15_000;

/** State of a run request. */
export type RunRequestState =
  | { readonly type: "started"; readonly worker: string }
  /** Must not be started: its origin has counted it as not started. */
  | { readonly type: "barred" };

interface Entry {
  readonly state: RunRequestState;
  readonly untilMs: number;
}

/** States of run requests by id. */
export class RunRequestLog {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** State of a run request; `undefined` if none is recorded. */
  state(id: string): RunRequestState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** Records that a run request is about to be sent to a worker. */
  recordStart(
    id: string,
    sent: { readonly worker: string; readonly timeoutMs: number },
  ): void {
    const { timeoutMs, worker } = sent;
    this.#put(id, { state: { type: "started", worker }, timeoutMs });
  }

  /**
   * Bars a run request from being started; `false` if it was started before.
   */
  bar(id: string): boolean {
    if (this.state(id)?.type === "started") return false;
    this.#put(id, { state: { type: "barred" }, timeoutMs: 0 });
    return true;
  }

  /** Removes a run request that the worker did not run. */
  remove(id: string): void {
    this.#entries.delete(id);
  }

  #put(
    id: string,
    { state, timeoutMs }: {
      readonly state: RunRequestState;
      readonly timeoutMs: number;
    },
  ): void {
    const nowMs = this.#clock.monotonic();
    const untilMs = nowMs + timeoutMs + RUN_REQUEST_TTL_MS;
    this.#entries.set(id, { state, untilMs });
    for (const [oldest, entry] of this.#entries) {
      if (nowMs < entry.untilMs) return;
      this.#entries.delete(oldest);
    }
  }
}
