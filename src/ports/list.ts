/**
 * The platform's lagging list of live and leaving instances.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { ListFailure } from "../errors.ts";
import type { Worker } from "../types.ts";

/** What the list says of a machine. */
export type Presence = "live" | "leaving";

/** A worker with its presence. */
export interface ListedWorker {
  readonly worker: Worker;
  readonly presence: Presence;
}

/** An instance of zinniapoint with its presence. */
export interface ListedInstance {
  /** `host:port` on which peers connect. */
  readonly peerAddress: string;
  readonly presence: Presence;
}

/** One reading; whoever is not in it is gone. */
export interface Listing {
  readonly workers: readonly ListedWorker[];
  readonly instances: readonly ListedInstance[];
}

/** The list. */
export interface List {
  read(): ResultAsync<Listing, ListFailure>;
}
