/**
 * An in-memory implementation of the platform's store, for tests of the cell.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { CommitResult, Condition, Entry, Write } from "../ports/store.ts";
import type { CellStore } from "./ports.ts";

/** An in-memory store that can be unavailable or lose responses. */
export class FakeStore implements CellStore {
  readonly entries = new Map<string, Entry>();
  /** Whether all calls fail. */
  unavailable = false;
  /** Transactions with a condition on one of these keys fail without being executed. */
  readonly stuckKeys = new Set<string>();
  /** If set, transactions with a condition on this key are executed, and answered once the promise resolves. */
  held: { readonly key: string; readonly until: Promise<void> } | undefined;
  /** Number of further transactions that are executed but whose response is lost. */
  responsesToLose = 0;
  /** Revision of the last executed transaction. */
  revision = 1;
  /** Number of transactions that reached the store. */
  commits = 0;

  get(key: string): ResultAsync<Entry | undefined, StoreFailure> {
    return this.unavailable
      ? this.#failUnavailable()
      : okAsync(this.entries.get(key));
  }

  list(prefix: string): ReturnType<CellStore["list"]> {
    if (this.unavailable) return this.#failUnavailable();
    const entries = [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix));
    return okAsync({ entries, revision: this.revision });
  }

  commit(
    conditions: readonly Condition[],
    writes: readonly Write[],
  ): ResultAsync<CommitResult, StoreFailure> {
    const stuck = conditions.some(({ key }) => this.stuckKeys.has(key));
    if (this.unavailable || stuck) return this.#failUnavailable();
    this.commits++;
    const broken = conditions.some((condition) =>
      (this.entries.get(condition.key)?.revision ?? 0) !== condition.revision
    );
    if (broken) {
      const entries = conditions.flatMap((condition) =>
        this.entries.get(condition.key) ?? []
      );
      return okAsync({ type: "conflict", revision: this.revision, entries });
    }
    this.revision++;
    for (const write of writes) {
      if (write.type === "delete") this.entries.delete(write.key);
      else {
        this.entries.set(write.key, {
          key: write.key,
          value: write.value,
          revision: this.revision,
        });
      }
    }
    if (this.responsesToLose > 0) {
      this.responsesToLose--;
      return errAsync({ type: "storeAnswerLost", message: "lost" });
    }
    const result: CommitResult = { type: "committed", revision: this.revision };
    const { held } = this;
    const isHeld = conditions.some(({ key }) => key === held?.key);
    if (held === undefined || !isHeld) return okAsync(result);
    return ResultAsync.fromSafePromise(held.until.then(() => result));
  }

  changes(): ReturnType<CellStore["changes"]> {
    return okAsync({ changes: [], revision: this.revision });
  }

  #failUnavailable<A>(): ResultAsync<A, StoreFailure> {
    return errAsync({ type: "storeUnreachable", message: "away" });
  }
}
