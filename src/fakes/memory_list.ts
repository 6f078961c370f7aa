/**
 * In-memory fake of the platform's list of workers and instances.
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

/** A list whose content and availability are set by tests. */
export class MemoryList implements List {
  workers: ListedWorker[] = [];
  instances: ListedInstance[] = [];
  /** Whether reads fail. */
  away = false;

  read(): ResultAsync<Listing, ListFailure> {
    if (this.away) {
      return errAsync({
        type: "listUnavailable",
        message: "the list is unavailable",
      });
    }
    const { workers, instances } = this;
    return okAsync({ workers: [...workers], instances: [...instances] });
  }
}
