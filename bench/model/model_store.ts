/**
 * A store in memory that answers after a while.
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

/** Answer of a store that is away. */
const AWAY: StoreFailure = { type: "storeUnreachable", message: "away" };
/** Time that the store takes for an answer, milliseconds. */
const STORE_MS = 5;

/** A store that holds what is written and answers after {@linkcode STORE_MS}, unless it is away. */
export class ModelStore implements CellStore {
  readonly #clock: Clock;
  readonly #entries = new Map<string, Entry>();
  #revision = 1;
  away = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(key: string) {
    return this.#answer(() => this.#entries.get(key));
  }

  list(prefix: string) {
    return this.#answer(() => ({
      entries: [...this.#entries.values()].filter((one) =>
        one.key.startsWith(prefix)
      ),
      revision: this.#revision,
    }));
  }

  commit(_conditions: readonly Condition[], writes: readonly Write[]) {
    return this.#answer((): CommitResult => {
      this.#revision++;
      for (const write of writes) this.#write(write);
      return { type: "committed", revision: this.#revision };
    });
  }

  changes() {
    return this.#answer(() => ({ changes: [], revision: this.#revision }));
  }

  #write(write: Write): void {
    const { key } = write;
    if (write.type === "delete") this.#entries.delete(key);
    else {
      const { value } = write;
      this.#entries.set(key, { key, value, revision: this.#revision });
    }
  }

  #answer<A>(value: () => A): ResultAsync<A, StoreFailure> {
    const answered = sleep(this.#clock, STORE_MS);
    return ResultAsync.fromSafePromise(answered).andThen(() =>
      this.away ? errAsync(AWAY) : okAsync(value())
    );
  }
}
