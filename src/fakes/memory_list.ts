/**
 * The platform's list in memory.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { ListFailure } from "../errors.ts";
import type {
  List,
  ListedInstance,
  ListedWorker,
  Listing,
} from "../ports/list.ts";

/** A list that says what it was told to. */
export class MemoryList implements List {
  workers: ListedWorker[] = [];
  instances: ListedInstance[] = [];
  away = false;

  read(): ResultAsync<Listing, ListFailure> {
    if (this.away) {
      return errAsync({ type: "listUnavailable", message: "the list is away" });
    }
    const { workers, instances } = this;
    return okAsync({ workers: [...workers], instances: [...instances] });
  }
}
