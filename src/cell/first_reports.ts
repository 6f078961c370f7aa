/**
 * The first reports of workers after a takeover.
 *
 * All workers asked at once would keep clients and the first starts waiting
 * behind their answers, so a few are asked at a time; one that is silent delays
 * the others but little.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { FleetWorker } from "./fleet.ts";

/** Reports that are waited for at once. */
const AT_ONCE = 6;
/** Longest wait for one before the next worker is asked, milliseconds. */
const WAIT_MS = 25;

/** Asks workers for their first reports in the order in which they were added. */
export class FirstReports {
  readonly #clock: Clock;
  readonly #ask: (worker: FleetWorker) => Promise<unknown>;
  readonly #waiting: FleetWorker[] = [];
  #open = 0;
  #closed = false;

  /** `ask` resolves once a worker has reported or failed to. */
  constructor(clock: Clock, ask: (worker: FleetWorker) => Promise<unknown>) {
    this.#clock = clock;
    this.#ask = ask;
  }

  /** Asks a worker as soon as it is its turn. */
  add(worker: FleetWorker): void {
    this.#waiting.push(worker);
    this.#askNext();
  }

  /** Asks nobody any more. */
  close(): void {
    this.#closed = true;
  }

  #askNext(): void {
    while (!this.#closed && this.#open < AT_ONCE) {
      const worker = this.#waiting.shift();
      if (worker === undefined) return;
      this.#open++;
      const limit = sleep(this.#clock, WAIT_MS);
      void Promise.race([this.#ask(worker), limit]).then(() => {
        this.#open--;
        this.#askNext();
      });
    }
  }
}
