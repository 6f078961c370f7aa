/**
 * Failures that cross module boundaries. Every failure is a tagged object;
 * modules add their own unions in the same shape.
 *
 * @module
 */

/** What every failure has in common. */
export interface Failure {
  /** Discriminates the union that the failure belongs to. */
  readonly type: string;
  /** One sentence for a person, without secrets. */
  readonly message: string;
}

/** Why a call to the platform's key-value service gave no answer. */
export type StoreFailure =
  /** The service could not be reached; the call did not take effect. */
  | { readonly type: "storeUnreachable"; readonly message: string }
  /** The answer was lost: a write may or may not have taken effect. */
  | { readonly type: "storeAnswerLost"; readonly message: string }
  /** The service refused the call: budget spent. */
  | { readonly type: "storeBusy"; readonly message: string }
  /** The value is larger than the service holds. */
  | {
    readonly type: "storeValueTooLarge";
    readonly message: string;
    readonly limitBytes: number;
  }
  /** The service answered with something that is not its protocol. */
  | { readonly type: "storeProtocol"; readonly message: string };

/** Why the platform's list gave no answer. */
export interface ListFailure {
  readonly type: "listUnavailable";
  readonly message: string;
}

/** Why a call to a worker gave no whole answer. */
export type WorkerFailure =
  /** No byte of the call reached the worker. */
  | { readonly type: "workerUnreached"; readonly message: string }
  /** The worker said that it did not and will not run this call. */
  | { readonly type: "workerRefused"; readonly message: string }
  /** The worker refused because it is leaving. */
  | { readonly type: "workerLeaving"; readonly message: string }
  /** Bytes may have reached the worker; whether it ran the call is unknown. */
  | { readonly type: "workerSilent"; readonly message: string }
  /** A newer fencing number than the caller's has been seen by the worker. */
  | {
    readonly type: "workerFenced";
    readonly message: string;
    readonly fence: number;
  };

/** Why a call to another instance gave no answer. */
export type PeerFailure =
  /** The call was never sent. */
  | { readonly type: "peerUnreached"; readonly message: string }
  /** The call was sent and not answered; it may have been carried out. */
  | { readonly type: "peerSilent"; readonly message: string }
  /** The peer answered with an error. */
  | {
    readonly type: "peerRefused";
    readonly message: string;
    readonly code: number;
  };

/** Marks code that exhaustive switches never reach. */
export function unreachable(value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
}
