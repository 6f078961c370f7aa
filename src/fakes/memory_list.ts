/**
 * In-memory fake of the platform's list of workers and instances.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { ListFailure } from "../errors.ts";
import type {
  FleetList,
  FleetSnapshot,
  ListedInstance,
  ListedWorker,
} from "../ports/list.ts";

/** A list whose content and availability are set by tests. */
export class MemoryList implements FleetList {
  workers: ListedWorker[] = [];
  instances: ListedInstance[] = [];
  /** Whether reads fail. */
  unavailable = false;

  read(): ResultAsync<FleetSnapshot, ListFailure> {
    if (this.unavailable) {
      return errAsync({
        type: "listUnavailable",
        message: "the list is unavailable",
      });
    }
    const { workers, instances } = this;
    return okAsync({ workers: [...workers], instances: [...instances] });
  }
}
