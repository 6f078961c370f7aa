/**
 * Finds the outcome of attempts whose start requests were not answered.
 *
 * @module
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Authority } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import type {
  AttemptState,
  FindFailure,
  StartedAttempt,
} from "../ports/runner.ts";
import { findAttemptCall } from "../wire/dispatch.ts";
import type { Fleet } from "./fleet.ts";
import { WORKER_UNIT_PREFIX } from "./owned_workers.ts";
import { TASK_LEASE_MS, type TaskSupervisor } from "./task_supervisor.ts";

/** Timeout of calls to another instance, milliseconds. */
const PEER_TIMEOUT_MS = 3_000;

/** Dependencies of {@linkcode AttemptFinder}. */
export interface AttemptFinderOptions {
  readonly self: string;
  readonly authority: Authority;
  readonly fleet: Fleet;
  readonly taskSupervisor: TaskSupervisor;
  readonly peers: Peers;
}

/** Asks the owners of workers for the state of attempts. */
export class AttemptFinder {
  readonly #options: AttemptFinderOptions;

  constructor(options: AttemptFinderOptions) {
    this.#options = options;
  }

  /**
   * The state of an attempt. Fails with `findPending` while the state is not
   * known yet.
   */
  find(attempt: StartedAttempt): ResultAsync<AttemptState, FindFailure> {
    const { authority, fleet, peers, self, taskSupervisor } = this.#options;
    const { worker } = attempt;
    if (fleet.absentMs(worker) > TASK_LEASE_MS) {
      return okAsync({ type: "unknown" });
    }
    const owner = authority.ownerOf(WORKER_UNIT_PREFIX + worker);
    if (owner === undefined) return errAsync(findPending);
    const params = { worker, attempt: attempt.attempt };
    const state = owner.id === self
      ? ResultAsync.fromSafePromise(
        taskSupervisor.find(worker, attempt.attempt),
      )
      : peers
        .call(owner.id, findAttemptCall, { params, timeoutMs: PEER_TIMEOUT_MS })
        .map((response) => response.state);
    return state.mapErr(() => findPending).andThen((found) => {
      return found === "pending"
        ? errAsync(findPending)
        : okAsync<AttemptState>({ type: found });
    });
  }
}

const findPending: FindFailure = {
  type: "findPending",
  message: "the worker's owner does not know the state of the attempt yet",
};
