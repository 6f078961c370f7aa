/**
 * Finds out what became of attempts whose starts were not answered.
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
import { WORKER_UNIT } from "./owned_workers.ts";
import { TASK_LEASE_MS, type TaskKeeper } from "./task_keeper.ts";

/** Longest wait for another instance, milliseconds. */
const PEER_WAIT_MS = 3_000;

/** What the controller needs. */
export interface AttemptFinderOptions {
  readonly self: string;
  readonly authority: Authority;
  readonly fleet: Fleet;
  readonly keeper: TaskKeeper;
  readonly peers: Peers;
}

/** Asks the owners of workers for attempts. */
export class AttemptFinder {
  readonly #options: AttemptFinderOptions;

  constructor(options: AttemptFinderOptions) {
    this.#options = options;
  }

  /** What became of an attempt. */
  find(attempt: StartedAttempt): ResultAsync<AttemptState, FindFailure> {
    const { authority, fleet, peers, self, keeper } = this.#options;
    const { worker } = attempt;
    if (fleet.absentMs(worker) > TASK_LEASE_MS) {
      return okAsync({ type: "unknown" });
    }
    const owner = authority.ownerOf(WORKER_UNIT + worker);
    if (owner === undefined) return errAsync(pending);
    const params = { worker, attempt: attempt.attempt };
    const state = owner.id === self
      ? ResultAsync.fromSafePromise(keeper.find(worker, attempt.attempt))
      : peers
        .call(owner.id, findAttemptCall, { params, timeoutMs: PEER_WAIT_MS })
        .map((answer) => answer.state);
    return state.mapErr(() => pending).andThen((found) => {
      return found === "pending"
        ? errAsync(pending)
        : okAsync<AttemptState>({ type: found });
    });
  }
}

const pending: FindFailure = {
  type: "findPending",
  message: "the worker's owner cannot say yet",
};
