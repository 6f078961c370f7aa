/**
 * Interfaces of the systems that a cell uses: the key-value store, the
 * platform's directory, the workers and the advice service.
 *
 * The platform is that of the users: it lists the machines of the cell and runs
 * the key-value store.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Change, Store } from "../ports/store.ts";
import type { Advice, ClusterSet, TaskId, WorkerEntry } from "./types.ts";

/** The part of the store's interface that the cell uses. */
export interface CellStore extends Pick<Store, "get" | "list" | "commit"> {
  /**
   * Waits up to `waitMs` milliseconds for changes of keys with `prefix` that
   * are newer than `afterRevision`. Resolves to `undefined` if the store has
   * compacted that part of its history: the caller must list the keys again.
   */
  changes(
    prefix: string,
    afterRevision: number,
    options: { readonly waitMs: number },
  ): ResultAsync<
    | { readonly changes: readonly Change[]; readonly revision: number }
    | undefined,
    StoreFailure
  >;
}

/** A zone in which no new runs may start, and the store revision of the operators' request. */
export interface Evacuation {
  readonly zone: string;
  readonly revision: number;
}

/** All active evacuations at one revision of the store. */
export interface EvacuationState {
  readonly evacuations: readonly Evacuation[];
  readonly revision: number;
}

/** An evacuation that operators requested or withdrew. */
export interface EvacuationChange extends Evacuation {
  readonly type: "evacuated" | "restored";
}

/** The operator set and all evacuations, as listed from the store at one revision. */
export interface OperatorState extends EvacuationState {
  /** `undefined` if no set has been published yet or if it can't be decoded. */
  readonly set: ClusterSet | undefined;
}

/**
 * What operators changed after a revision. `changes` holds the changes alone;
 * `state` holds everything, because the store no longer has the history.
 */
export type OperatorUpdate =
  | ({ readonly type: "state" } & OperatorState)
  | {
    readonly type: "changes";
    /** `undefined` if the set has not changed. */
    readonly set: ClusterSet | undefined;
    /** Sorted by revision, oldest first. */
    readonly evacuations: readonly EvacuationChange[];
    readonly revision: number;
  };

/** Reads the list of workers, the operator set and the evacuations from the platform. */
export interface PlatformDirectory {
  /** Lists all workers. `foreign` counts the entries that don't describe a worker and were skipped. */
  workers(): ResultAsync<
    { readonly workers: readonly WorkerEntry[]; readonly foreign: number },
    StoreFailure
  >;
  /** Reads the operator set and all active evacuations. */
  operatorState(): ResultAsync<OperatorState, StoreFailure>;
  /** Waits for changes that operators make after a revision; resolves without changes after a timeout. */
  nextOperatorUpdate(
    afterRevision: number,
  ): ResultAsync<OperatorUpdate, StoreFailure>;
  /** Reads the evacuations without the operator set, which may be large. */
  evacuations(): ResultAsync<EvacuationState, StoreFailure>;
}

/** Request to start one run of a task on a worker. */
export interface StartRequest {
  readonly task: TaskId;
  /** Number of the run; a worker rejects a number that is not newer than the last one stopped. */
  readonly run: number;
  /** The job's payload. */
  readonly spec: string;
  /** End of the worker's lease on the worker's clock, milliseconds; all its runs end then unless the lease is renewed. */
  readonly leaseUntilMs: number;
  /** Fencing token of the leader; workers reject requests with a lower one than they have seen. */
  readonly fence: number;
  /** Checkpoint to resume from; empty to start from the beginning. */
  readonly checkpoint: string;
  /** Ticket of the advice service, if the queue requires advice. */
  readonly ticket?: string;
}

/** Why a worker rejected a start. `otherBoot`: another process than the expected one answers at the address. */
export type StartRejection =
  | "fenced"
  | "staleRun"
  | "tooLate"
  | "noRoom"
  | "ticket"
  | "unhealthy"
  | "otherBoot"
  | "malformed";

/**
 * Outcome of a start request. `clockMs` is the worker's clock. `unknown`: no
 * usable response, so the worker may still start the run. `unreached`: the
 * request was not delivered.
 */
export type StartResponse =
  | { readonly type: "started"; readonly clockMs: number | undefined }
  | { readonly type: "rejected"; readonly reason: StartRejection }
  | { readonly type: "unknown"; readonly message: string }
  | { readonly type: "unreached"; readonly message: string };

/** A run in progress, as reported by its worker. */
export interface ReportedRun {
  readonly task: TaskId;
  readonly run: number;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Progress of the run, percent. */
  readonly percent: number;
}

/**
 * How a run ended. `lapsed`: the worker's lease expired. `peerEnded`: another
 * member of its gang ended. `alone`: the other members of its gang did not start.
 */
export type CompletionKind =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "peerEnded"
  | "alone";

/** The completion of a run, which its worker reports until the leader acknowledges it. */
export interface ReportedCompletion {
  /** Sequence number on this worker process, ascending; acknowledgements refer to it. */
  readonly sequence: number;
  readonly task: TaskId;
  readonly run: number;
  readonly kind: CompletionKind;
  readonly checkpoint: string;
}

/** The runs in progress on a worker and its unacknowledged completions. */
export interface WorkerReport {
  /** The worker's clock, milliseconds. */
  readonly clockMs: number;
  /** Start of the worker's process, Unix milliseconds; a new value means that the worker restarted. */
  readonly processStartMs: number | undefined;
  readonly running: readonly ReportedRun[];
  readonly completions: readonly ReportedCompletion[];
  /**
   * Whether the worker may have further unacknowledged completions, which it
   * reports once these are acknowledged.
   */
  readonly mayOmitCompletions: boolean;
}

/**
 * Why a poll returned no report. `fenced`: the worker has seen a newer fencing
 * token. `otherBoot`: another process than the expected one answers at the
 * address. `unreached`: the request was not sent. `lost`: the worker may have
 * carried out the request, but no usable response arrived.
 */
export interface PollFailure {
  readonly type: "fenced" | "otherBoot" | "unreached" | "lost";
  readonly message: string;
}

/** Where requests to a worker are sent. */
export interface WorkerAddress {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
}

/** Sends requests to workers. */
export interface WorkerClient {
  /** Sends a start request once, without retries. */
  start(worker: WorkerAddress, request: StartRequest): Promise<StartResponse>;
  /**
   * Stops a run. If the run has not started yet, the worker rejects any later
   * start of it. Resolves to `false` if the worker did not confirm.
   */
  stop(
    worker: WorkerAddress,
    request: {
      readonly task: TaskId;
      readonly run: number;
      readonly fence: number;
    },
  ): Promise<boolean>;
  /**
   * Renews the worker's lease if `leaseUntilMs` is given, acknowledges
   * completions up to the sequence number `acknowledged` and returns the
   * worker's report. The worker responds at the next completion or after `waitMs`.
   */
  poll(
    worker: WorkerAddress,
    request: {
      readonly fence: number;
      readonly acknowledged: number;
      readonly leaseUntilMs: number | undefined;
      readonly waitMs: number;
    },
  ): ResultAsync<WorkerReport, PollFailure>;
  /** Closes the connections to a worker that has been removed. */
  disconnect(address: string): void;
}

/** The external service that decides which workers may run a step. It answers one request of each instance at a time. */
export interface AdviceService {
  /** Asks which of `workers` may run the step with the key `step`. */
  requestAdvice(
    step: string,
    workers: readonly string[],
    options: { readonly timeoutMs: number },
  ): Promise<Advice>;
}
