/**
 * A store in memory that responds after a fixed delay.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { CellStore } from "../../src/cell/ports.ts";
import { type Clock, sleep } from "../../src/clock.ts";
import type { StoreFailure } from "../../src/errors.ts";
import type {
  CommitResult,
  Condition,
  Entry,
  Write,
} from "../../src/ports/store.ts";

/** Failure returned while the store is unreachable. */
const UNREACHABLE: StoreFailure = { type: "storeUnreachable", message: "away" };
/** Delay of a response, milliseconds. */
const RESPONSE_DELAY_MS = 5;

/** A store in memory that responds after {@linkcode RESPONSE_DELAY_MS}, with a failure while it is unreachable. */
export class ModelStore implements CellStore {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();
  #revision = 1;
  unreachable = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(key: string) {
    return this.#respond(() => this.#entries.get(key));
  }

  list(prefix: string) {
    return this.#respond(() => ({
      entries: [...this.#entries.values()].filter((one) =>
        one.key.startsWith(prefix)
      ),
      revision: this.#revision,
    }));
  }

  commit(_conditions: readonly Condition[], writes: readonly Write[]) {
    return this.#respond((): CommitResult => {
      this.#revision++;
      for (const write of writes) this.#apply(write);
      return { type: "committed", revision: this.#revision };
    });
  }

  changes() {
    return this.#respond(() => ({ changes: [], revision: this.#revision }));
  }

  #apply(write: Write): void {
    const { key } = write;
    if (write.type === "delete") this.#entries.delete(key);
    else {
      const { value } = write;
      this.#entries.set(key, { key, value, revision: this.#revision });
    }
  }

  #respond<A>(value: () => A): ResultAsync<A, StoreFailure> {
    const answered = sleep(this.#clock, RESPONSE_DELAY_MS);
    return ResultAsync.fromSafePromise(answered).andThen(() =>
      this.unreachable ? errAsync(UNREACHABLE) : okAsync(value())
    );
  }
}
