/**
 * Combines several endpoints of the key-value service into one store. A call
 * that is known to have had no effect is retried at the next endpoint.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { errAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type {
  Condition,
  Store,
  Watch,
  WatchListener,
  Write,
} from "../ports/store.ts";

/** A store that fails over to the next endpoint when the current one is unreachable. */
export class FailoverStore implements Store {
  readonly #stores: readonly Store[];
  #current = 0;

  constructor(stores: readonly Store[]) {
    this.#stores = stores;
  }

  get(key: string): ReturnType<Store["get"]> {
    return this.#callWithFailover((store) => store.get(key));
  }

  list(prefix: string): ReturnType<Store["list"]> {
    return this.#callWithFailover((store) => store.list(prefix));
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ReturnType<Store["commit"]> {
    return this.#callWithFailover((store) => store.commit(conditions, writes));
  }

  grant(ttlSeconds: number): ReturnType<Store["grant"]> {
    return this.#callWithFailover((store) => store.grant(ttlSeconds));
  }

  renew(lease: string): ReturnType<Store["renew"]> {
    return this.#callWithFailover((store) => store.renew(lease));
  }

  revoke(lease: string): ReturnType<Store["revoke"]> {
    return this.#callWithFailover((store) => store.revoke(lease));
  }

  watch(prefix: string, fromRevision: number, watcher: WatchListener): Watch {
    const index = this.#current;
    const store = this.#stores[index];
    if (store === undefined) {
      queueMicrotask(() => watcher.ended(NO_ENDPOINT));
      return { close() {} };
    }
    return store.watch(prefix, fromRevision, {
      changed: (changes) => watcher.changed(changes),
      ended: (failure) => {
        if (failure.type === "storeUnreachable") this.#switchAwayFrom(index);
        watcher.ended(failure);
      },
    });
  }

  #callWithFailover<T>(
    call: (store: Store) => ResultAsync<T, StoreFailure>,
    failedEndpoints = 0,
  ): ResultAsync<T, StoreFailure> {
    const index = this.#current;
    const store = this.#stores[index];
    if (store === undefined) return errAsync(NO_ENDPOINT);
    return call(store).orElse((failure) => {
      if (failure.type !== "storeUnreachable") return errAsync(failure);
      this.#switchAwayFrom(index);
      return failedEndpoints + 1 < this.#stores.length
        ? this.#callWithFailover(call, failedEndpoints + 1)
        : errAsync(failure);
    });
  }

  /** Switches to the next endpoint, unless another call has already switched away from this one. */
  #switchAwayFrom(index: number): void {
    if (this.#current !== index) return;
    this.#current = (index + 1) % this.#stores.length;
  }
}

const NO_ENDPOINT: StoreFailure = {
  type: "storeUnreachable",
  message: "no endpoint of the key-value service is configured",
};
