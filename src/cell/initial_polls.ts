/**
 * Polls workers for their first reports, above all after a takeover.
 *
 * If all workers were polled at once, handling their responses would delay
 * client requests and the first starts of tasks. So only a few polls are in
 * flight at a time, and a silent worker delays the others only briefly.
 *
 * @module
 */
import { type Clock, sleep, type Timer } from "../clock.ts";
import { REPORT_RANKS, reportRankOf } from "./decisions/first_report_order.ts";
import type { FleetWorker } from "./fleet.ts";

/** Maximum number of polls that are waited for at the same time. */
const MAX_CONCURRENT_POLLS = 6;
/** After this wait the next worker is polled even without a response. */
const MAX_SLOT_WAIT_MS = 25;

/**
 * Polls workers for their first reports, those with urgent runs first; source
 * of the order: {@linkcode reportRankOf}.
 */
export class InitialPolls {
  readonly #clock: Clock;
  readonly #poll: (worker: FleetWorker) => Promise<unknown>;
  /** Workers to poll, by their rank. */
  readonly #waiting: readonly FleetWorker[][] = Array.from(
    { length: REPORT_RANKS },
    () => [],
  );
  #timer: Timer | undefined;
  #inFlight = 0;
  #closed = false;

  /** `poll` resolves once the worker has reported or failed to. */
  constructor(clock: Clock, poll: (worker: FleetWorker) => Promise<unknown>) {
    this.#clock = clock;
    this.#poll = poll;
  }

  /** Adds a worker, which is polled when it is its turn. */
  add(worker: FleetWorker): void {
    this.#waiting[reportRankOf(worker)]!.push(worker);
    // All workers of a list are added before the first of them is polled.
    this.#timer ??= this.#clock.after(0, () => {
      this.#timer = undefined;
      this.#pollNext();
    });
  }

  /** Starts no more polls. */
  close(): void {
    this.#closed = true;
  }

  #pollNext(): void {
    while (!this.#closed && this.#inFlight < MAX_CONCURRENT_POLLS) {
      const worker = this.#waiting.find(({ length }) => length > 0)?.shift();
      if (worker === undefined) return;
      this.#inFlight++;
      const limit = sleep(this.#clock, MAX_SLOT_WAIT_MS);
      void Promise.race([this.#poll(worker), limit]).then(() => {
        this.#inFlight--;
        this.#pollNext();
      });
    }
  }
}
