/**
 * One reading of the platform's list for all controllers of an instance.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Clock } from "../clock.ts";
import type { ListFailure } from "../errors.ts";
import type { List, Listing } from "../ports/list.ts";

/** A reading serves whoever asks within this time, milliseconds. */
const SHARED_MS = 900;

interface Reading {
  readonly askedAtMs: number;
  readonly listing: ResultAsync<Listing, ListFailure>;
}

/** A {@linkcode List} that asks another one at most about once a second. */
export class SharedList implements List {
  readonly #list: List;
  readonly #clock: Clock;
  #reading: Reading | undefined;

  constructor(list: List, clock: Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  read(): ResultAsync<Listing, ListFailure> {
    const nowMs = this.#clock.monotonic();
    const known = this.#reading;
    if (known !== undefined && nowMs - known.askedAtMs < SHARED_MS) {
      return known.listing;
    }
    const listing = this.#list.read();
    this.#reading = { askedAtMs: nowMs, listing };
    return listing;
  }
}
