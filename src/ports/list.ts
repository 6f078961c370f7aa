/**
 * The platform's list of workers and instances. The list lags behind the actual
 * state of the machines.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { ListFailure } from "../errors.ts";
import type { Worker } from "../types.ts";

/** State of a machine in the platform's list of workers and instances. `leaving` machines are shutting down. */
export type Presence = "live" | "leaving";

/** A worker and its state in the platform's list. */
export interface ListedWorker {
  readonly worker: Worker;
  readonly presence: Presence;
}

/** An instance of zinniapoint and its state in the platform's list. */
export interface ListedInstance {
  /** `host:port` on which peers connect. */
  readonly peerAddress: string;
  readonly presence: Presence;
}

/** The platform's list at one point in time. Machines that are not in it no longer exist. */
export interface FleetSnapshot {
  readonly workers: readonly ListedWorker[];
  readonly instances: readonly ListedInstance[];
}

/** Access to the platform's list of workers and instances. */
export interface FleetList {
  /** Reads all workers and instances in the list. */
  read(): ResultAsync<FleetSnapshot, ListFailure>;
}
