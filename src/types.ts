/**
 * The nouns that every module shares.
 *
 * @module
 */

/** Amounts of what a worker offers or a task takes. */
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

/** A machine of the fleet that runs tasks and answers requests. */
export interface Worker {
  readonly id: string;
  /** `host:port` by IP number. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Connections that the worker accepts in all. */
  readonly connections: number;
}

/** A process of zinniapoint. */
export interface Instance {
  /** Unique to one start of one process. */
  readonly id: string;
  /** `host:port` by IP number on which peers connect. */
  readonly peerAddress: string;
  /** `host:port` by IP number on which callers connect. */
  readonly callerAddress: string;
  readonly zone: string;
}

/** Whether a request waits on its connection or may be done later. */
export type Urgency = "urgent" | "deferred";

/** What a caller can be told of its work. */
export type Outcome =
  /** The whole answer of the worker. */
  | { readonly type: "done"; readonly answer: Answer }
  /** No worker has started it nor will. */
  | {
    readonly type: "notRun";
    readonly reason: Reason;
    /** Milliseconds until asking again makes sense; absent if asking again is useless. */
    readonly retryAfterMs?: number;
  }
  /** It may have run, once at most. */
  | {
    readonly type: "unknown";
    readonly reason: Reason;
    /** Milliseconds until asking for the outcome again makes sense. */
    readonly retryAfterMs?: number;
  };

/** A whole HTTP answer of an upstream. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** The worker that gave it. */
  readonly worker: string;
}

/** Why a decision went the way it did: a closed union, used by logs, traces and `explain`. */
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
