/**
 * Domain types that all modules share.
 *
 * @module
 */

/** Amounts of resources: the capacity of a worker or the requirement of a task. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  /** Mebibytes. */
  readonly memoryMib: number;
  /** Whole accelerators. */
  readonly accelerators: number;
  /** Concurrent tasks or requests. */
  readonly slots: number;
}

/** A machine of the fleet that runs tasks and serves requests. */
export interface Worker {
  readonly id: string;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Largest number of connections that the worker accepts. */
  readonly connections: number;
}

/** Identity of one instance. */
export interface Instance {
  /** Unique to one start of the process: a restarted instance has a new ID. */
  readonly id: string;
  /** `IP:port` at which other instances connect. */
  readonly peerAddress: string;
  /** `IP:port` at which clients connect. */
  readonly callerAddress: string;
  readonly zone: string;
}

/** `urgent`: the client waits on its connection for the result. `deferred`: the work may run later. */
export type Urgency = "urgent" | "deferred";

/** Result of a piece of work as its client learns it. */
export type Outcome =
  /** The complete response of the worker. */
  | { readonly type: "done"; readonly answer: Answer }
  /** No worker has started the work, and none will. */
  | {
    readonly type: "notRun";
    readonly reason: Reason;
    /** Delay after which the client may retry, milliseconds; absent if a retry cannot succeed. */
    readonly retryAfterMs?: number;
  }
  /** The work may have run, at most once. */
  | {
    readonly type: "unknown";
    readonly reason: Reason;
    /** Delay after which the client may query the outcome again, milliseconds. */
    readonly retryAfterMs?: number;
  };

/** A complete HTTP response of an upstream. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64-encoded. */
  readonly body: string;
  /** ID of the worker that sent the response. */
  readonly worker: string;
}

/** Why a decision was made: a closed union that logs, traces and `explain` share. */
export type Reason =
  | { readonly type: "placed"; readonly worker: string }
  | { readonly type: "unknownKey" }
  | { readonly type: "withdrawnKey" }
  | { readonly type: "unknownWorkload"; readonly workload: string }
  | { readonly type: "notAllowed"; readonly queue: string }
  | { readonly type: "badRequest"; readonly detail: string }
  | { readonly type: "tooLarge"; readonly limitBytes: number }
  | { readonly type: "queueFull"; readonly queue: string }
  | { readonly type: "deadlineTooClose"; readonly queue: string }
  | {
    readonly type: "overLimit";
    readonly team: string;
    readonly limit: number;
  }
  | { readonly type: "overShare"; readonly team: string }
  | { readonly type: "noRoom"; readonly workload: string }
  | { readonly type: "neverFits"; readonly workload: string }
  | { readonly type: "noOwner" }
  | { readonly type: "overloaded" }
  | { readonly type: "isolated" }
  | { readonly type: "stopping" }
  | { readonly type: "storeAway" }
  | { readonly type: "notConfigured" }
  | { readonly type: "workerLost"; readonly worker: string }
  | { readonly type: "workerFailed"; readonly worker: string }
  | { readonly type: "peerLost"; readonly peer: string }
  | { readonly type: "keyMemoryLost" }
  | { readonly type: "duplicateKey" }
  | { readonly type: "attemptsSpent"; readonly attempts: number }
  | { readonly type: "cancelled" };
