/**
 * Several endpoints of the key-value service as one. A call that did not take
 * effect at one endpoint goes to the next.
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
  Watcher,
  Write,
} from "../ports/store.ts";

/** A store that fails over between endpoints. */
export class StoreEndpoints implements Store {
  readonly #stores: readonly Store[];
  #current = 0;

  constructor(stores: readonly Store[]) {
    this.#stores = stores;
  }

  get(key: string): ReturnType<Store["get"]> {
    return this.#call((store) => store.get(key));
  }

  list(prefix: string): ReturnType<Store["list"]> {
    return this.#call((store) => store.list(prefix));
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ReturnType<Store["commit"]> {
    return this.#call((store) => store.commit(conditions, writes));
  }

  grant(ttlSeconds: number): ReturnType<Store["grant"]> {
    return this.#call((store) => store.grant(ttlSeconds));
  }

  renew(lease: string): ReturnType<Store["renew"]> {
    return this.#call((store) => store.renew(lease));
  }

  revoke(lease: string): ReturnType<Store["revoke"]> {
    return this.#call((store) => store.revoke(lease));
  }

  watch(prefix: string, fromRevision: number, watcher: Watcher): Watch {
    const index = this.#current;
    const store = this.#stores[index];
    if (store === undefined) {
      queueMicrotask(() => watcher.ended(noEndpoint));
      return { close() {} };
    }
    return store.watch(prefix, fromRevision, {
      changed: (changes) => watcher.changed(changes),
      ended: (failure) => {
        if (failure.type === "storeUnreachable") this.#leave(index);
        watcher.ended(failure);
      },
    });
  }

  #call<T>(
    call: (store: Store) => ResultAsync<T, StoreFailure>,
    tried = 0,
  ): ResultAsync<T, StoreFailure> {
    const index = this.#current;
    const store = this.#stores[index];
    if (store === undefined) return errAsync(noEndpoint);
    return call(store).orElse((failure) => {
      if (failure.type !== "storeUnreachable") return errAsync(failure);
      this.#leave(index);
      return tried + 1 < this.#stores.length
        ? this.#call(call, tried + 1)
        : errAsync(failure);
    });
  }

  /** Moves on from an endpoint, unless another call already has. */
  #leave(index: number): void {
    if (this.#current !== index) return;
    this.#current = (index + 1) % this.#stores.length;
  }
}

const noEndpoint: StoreFailure = {
  type: "storeUnreachable",
  message: "no endpoint of the key-value service is set",
};
