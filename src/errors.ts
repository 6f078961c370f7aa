/**
 * Failures that cross module boundaries. Every failure is an object with a
 * `type` tag; modules define further unions of the same shape.
 *
 * @module
 */

/** Fields that every failure has. */
export interface Failure {
  /** Discriminator of the union. */
  readonly type: string;
  /** Description for people, one sentence without secrets. */
  readonly message: string;
}

/** Why a call to the platform's key-value service failed. */
export type StoreFailure =
  /** The service could not be reached; the call had no effect. */
  | { readonly type: "storeUnreachable"; readonly message: string }
  /** No response arrived; whether a write took effect is unknown. */
  | { readonly type: "storeAnswerLost"; readonly message: string }
  /** The service rejected the call because the call quota is exhausted. */
  | { readonly type: "storeBusy"; readonly message: string }
  /** The value exceeds the size limit of the service. */
  | {
    readonly type: "storeValueTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  /** The response does not follow the protocol of the service. */
  | { readonly type: "storeProtocol"; readonly message: string };

/** Why the platform's list of workers and instances could not be read. */
export interface ListFailure {
  readonly type: "listUnavailable";
  readonly message: string;
}

/** Why a call to a worker returned no complete response. */
export type WorkerFailure =
  /** No byte of the request was sent to the worker. */
  | { readonly type: "workerUnreached"; readonly message: string }
  /** The worker rejected the request: it has not run it and will not. */
  | { readonly type: "workerRefused"; readonly message: string }
  /** The worker rejected the request because it is shutting down. */
  | { readonly type: "workerLeaving"; readonly message: string }
  /** The request may have reached the worker; whether the worker ran it is unknown. */
  | { readonly type: "workerSilent"; readonly message: string }
  /** The worker has seen a newer fencing token than that of the caller. */
  | {
    readonly type: "workerFenced";
    readonly message: string;
    readonly fence: number;
  };

/** Why a call to another instance failed. */
export type PeerFailure =
  /** The call was not sent. */
  | { readonly type: "peerUnreached"; readonly message: string }
  /** The call was sent, but no response arrived; the peer may have executed it. */
  | { readonly type: "peerSilent"; readonly message: string }
  /** The peer responded with an error. */
  | {
    readonly type: "peerRefused";
    readonly message: string;
    readonly code: number;
  };

/** Lets the compiler check that a switch is exhaustive; throws a `TypeError` if it is reached at run time. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
}

/** Description of anything that was thrown, with the stack if it has one. */
export function describeThrown(error: unknown): string {
  return String((error as Error | undefined)?.stack ?? error);
}
