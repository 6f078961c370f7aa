/**
 * What the cell needs from the world around it.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreFailure } from "../errors.ts";
import type { Change, Store } from "../ports/store.ts";
import type { Advice, ClusterSet, TaskId, WorkerEntry } from "./types.ts";

/** The store calls that the cell makes. */
export interface CellStore extends Pick<Store, "get" | "list" | "commit"> {
  /**
   * Waits up to `waitMs` for changes below `prefix` after a revision.
   * `undefined`: that history is gone, read anew.
   */
  changes(
    prefix: string,
    after: number,
    options: { readonly waitMs: number },
  ): ResultAsync<
    | { readonly changes: readonly Change[]; readonly revision: number }
    | undefined,
    StoreFailure
  >;
}

/** A zone that gets no new work, with the revision at which that was asked. */
export interface Evacuation {
  readonly zone: string;
  readonly revision: number;
}

/** All evacuations in force at one revision of the store. */
export interface EvacuationState {
  readonly evacuations: readonly Evacuation[];
  readonly revision: number;
}

/** An evacuation that was asked or withdrawn. */
export interface EvacuationChange extends Evacuation {
  readonly type: "evacuated" | "restored";
}

/** What operators have asked, as one reading of the store shows it. */
export interface OperatorState extends EvacuationState {
  /** The set; `undefined` before the first one or if it is unreadable. */
  readonly set: ClusterSet | undefined;
}

/** What operators have asked since a revision. `state`: the history is gone, this is all of it. */
export type OperatorNews =
  | ({ readonly type: "state" } & OperatorState)
  | {
    readonly type: "changes";
    /** `undefined` if there is no newer one. */
    readonly set: ClusterSet | undefined;
    /** In the order of their revisions. */
    readonly evacuations: readonly EvacuationChange[];
    readonly revision: number;
  };

/** What the platform says of workers and of the operators' wishes. */
export interface PlatformDirectory {
  /** Every worker that is listed now. Foreign entries are left out and counted. */
  workers(): ResultAsync<
    { readonly workers: readonly WorkerEntry[]; readonly foreign: number },
    StoreFailure
  >;
  /** The operators' set and the evacuations in force. */
  operators(): ResultAsync<OperatorState, StoreFailure>;
  /** Waits a while for what operators ask after a revision. */
  nextOperators(after: number): ResultAsync<OperatorNews, StoreFailure>;
  /** The evacuations alone: a small answer where the set is large. */
  evacuations(): ResultAsync<EvacuationState, StoreFailure>;
}

/** Order to start one run of a task. */
export interface StartOrder {
  readonly task: TaskId;
  readonly run: number;
  readonly spec: string;
  /** Time on the worker's clock at which everything on it ends unless renewed, milliseconds. */
  readonly leaseUntilMs: number;
  readonly fence: number;
  /** Checkpoint to go on from; empty if there is none. */
  readonly checkpoint: string;
  /** Permission of the advice service, where the queue needs one. */
  readonly ticket?: string;
}

/** Why a worker did not start a run. */
export type StartRejection =
  | "fenced"
  | "staleRun"
  | "tooLate"
  | "noRoom"
  | "ticket"
  | "unhealthy"
  | "otherBoot"
  | "malformed";

/** What a worker said of a start. `unknown`: the order may still be carried out. */
export type StartAnswer =
  | { readonly type: "started"; readonly clockMs: number | undefined }
  | { readonly type: "rejected"; readonly reason: StartRejection }
  | { readonly type: "unknown"; readonly message: string }
  | { readonly type: "unreached"; readonly message: string };

/** One run as its worker reports it. */
export interface ReportedRun {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
}

/** How a run ended. `lapsed`: its lease ran out; `peerEnded`: another member of its gang ended; `alone`: the others never came. */
export type EndingKind =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "peerEnded"
  | "alone";

/** An end as its worker reports it, until it is acknowledged. */
export interface ReportedEnd {
  readonly number: number;
  readonly task: TaskId;
  readonly run: number;
  readonly kind: EndingKind;
  readonly checkpoint: string;
}

/** What runs and what ended on a worker. */
export interface WorkerReport {
  readonly clockMs: number;
  /** Start of the worker's process, Unix milliseconds; tells its lives apart. */
  readonly bornMs: number | undefined;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly ReportedEnd[];
}

/** Why a worker gave no report. */
export interface LookFailure {
  readonly type: "fenced" | "otherBoot" | "refused" | "unreached" | "lost";
  readonly message: string;
}

/** Where orders go. */
export interface WorkerAddress {
  readonly id: string;
  readonly address: string;
}

/** Orders to workers. */
export interface WorkerOrders {
  start(worker: WorkerAddress, order: StartOrder): Promise<StartAnswer>;
  /** Stops a run, or forbids it if it is not there yet; `false` if the worker did not confirm. */
  stop(
    worker: WorkerAddress,
    order: {
      readonly task: TaskId;
      readonly run: number;
      readonly fence: number;
    },
  ): Promise<boolean>;
  /** Renews the lease, forgets acknowledged ends and reports; waits up to `waitMs` for an end. */
  look(
    worker: WorkerAddress,
    order: {
      readonly fence: number;
      readonly acknowledged: number;
      readonly leaseUntilMs: number | undefined;
      readonly waitMs: number;
    },
  ): ResultAsync<WorkerReport, LookFailure>;
  /** Drops the connections to a worker that is gone. */
  forget(address: string): void;
}

/** Asks which workers may run a step. One call at a time is answered for each calling instance. */
export interface AdviceService {
  ask(
    step: string,
    workers: readonly string[],
    options: { readonly timeoutMs: number },
  ): Promise<Advice>;
}
