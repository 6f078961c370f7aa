/**
 * Watches the head at the store, and starts anew with growing delays.
 *
 * @module
 */
import { type Backoff, backoffMs } from "../backoff.ts";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Store, Watch } from "../ports/store.ts";
import { HEAD_KEY } from "./head.ts";

const REWATCH: Backoff = { firstMs: 200, longestMs: 10_000 };

/** What the watch needs. */
export interface HeadWatchOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: () => number;
  /** Takes the stored value of each new head. */
  readonly onHead: (value: string) => void;
  readonly onEnd: (failure: StoreFailure) => void;
}

/** A watch that its owner restarts when it is due. */
export class HeadWatch {
  readonly #options: HeadWatchOptions;
  #watch: Watch | undefined;
  #failures = 0;
  #notBefore = 0;

  constructor(options: HeadWatchOptions) {
    this.#options = options;
  }

  /** Whether no watch runs and the delay after the last one is over. */
  isDue(): boolean {
    return this.#watch === undefined &&
      this.#options.clock.monotonic() >= this.#notBefore;
  }

  /** Watches from a revision on. */
  start(fromRevision: number): void {
    const { store, onHead } = this.#options;
    let ended = false;
    const started = store.watch(HEAD_KEY, fromRevision, {
      changed: (changes) => {
        this.#failures = 0;
        for (const change of changes) {
          if (change.type === "deleted") continue;
          if (change.entry.key === HEAD_KEY) onHead(change.entry.value);
        }
      },
      ended: (failure) => {
        if (ended) return;
        ended = true;
        this.#end(failure);
      },
    });
    if (!ended) this.#watch = started;
  }

  /** Ends the watch, if one runs. */
  stop(): void {
    this.#watch?.close();
    this.#watch = undefined;
  }

  #end(failure: StoreFailure): void {
    const { clock, random, onEnd } = this.#options;
    this.#watch = undefined;
    const delayMs = backoffMs(REWATCH, ++this.#failures, { random });
    this.#notBefore = clock.monotonic() + delayMs;
    onEnd(failure);
  }
}
