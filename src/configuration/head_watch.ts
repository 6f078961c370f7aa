/**
 * Watch of the active head in the store, with backoff between restarts.
 *
 * @module
 */
import { type Backoff, backoffMs } from "../backoff.ts";
import type { Clock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Store, Watch } from "../ports/store.ts";
import { HEAD_KEY } from "./head.ts";

const RESTART_BACKOFF: Backoff = { initialMs: 200, maxMs: 10_000 };

/** Dependencies and callbacks of a {@linkcode HeadWatch}. */
export interface HeadWatchOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Receives the stored value of each new head. */
  readonly onHead: (value: string) => void;
  /** Called when a watch fails. */
  readonly onEnd: (failure: StoreFailure) => void;
}

/** A watch that does not restart by itself: the owner polls `isDue` and calls `start`. */
export class HeadWatch {
  readonly #options: HeadWatchOptions;
  #watch: Watch | undefined;
  #failures = 0;
  #nextStartMs = 0;

  constructor(options: HeadWatchOptions) {
    this.#options = options;
  }

  /** Whether no watch is running and the backoff after the last failure has passed. */
  isDue(): boolean {
    return this.#watch === undefined &&
      this.#options.clock.monotonic() >= this.#nextStartMs;
  }

  /** Starts the watch; it includes the changes since `fromRevision`. */
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
        this.#onFailure(failure);
      },
    });
    if (!ended) this.#watch = started;
  }

  /** Closes the watch if one is running. */
  stop(): void {
    this.#watch?.close();
    this.#watch = undefined;
  }

  #onFailure(failure: StoreFailure): void {
    const { clock, random, onEnd } = this.#options;
    this.#watch = undefined;
    const delayMs = backoffMs(RESTART_BACKOFF, ++this.#failures, { random });
    this.#nextStartMs = clock.monotonic() + delayMs;
    onEnd(failure);
  }
}
