/**
 * The parsed form of a published operator set (`set.ini`): named objects that
 * reference one another and are validated as a whole before publication.
 *
 * @module
 */
import type { Resources, Urgency } from "./types.ts";

/** A group of a client that submits work. */
export interface Team {
  readonly name: string;
  /** Client account of the team. */
  readonly account: string;
}

/** An API key that authorizes requests of one team. Only its salted hash is stored. */
export interface Key {
  readonly name: string;
  readonly team: string;
  /** Hexadecimal. */
  readonly salt: string;
  /** scrypt or SHA-256 of salt and secret, hexadecimal. */
  readonly hash: string;
  /** Revoked: requests with this key are rejected. */
  readonly withdrawn: boolean;
}

/** A queue of work that waits to be started. */
export interface Queue {
  readonly name: string;
  readonly urgency: Urgency;
  /** Whether requests without an API key are accepted; they are accounted to the only team in `teams`. */
  readonly open: boolean;
  /** Teams that may use the queue. */
  readonly teams: readonly string[];
  /** Largest number of items that may wait at one instance. */
  readonly maxWaiting: number;
  /** Longest wait of an urgent request, milliseconds. */
  readonly maxWaitMs: number;
}

/** A team's weight in fair sharing when the fleet is full. */
export interface Share {
  readonly name: string;
  readonly team: string;
  readonly weight: number;
}

/** Quota of a team across the whole fleet. */
export interface Limit {
  readonly name: string;
  readonly team: string;
  /** Largest number of tasks and requests that run at the same time. */
  readonly running: number;
}

/** Settings common to all kinds of workloads. */
export interface WorkloadCommon {
  readonly name: string;
  readonly queue: string;
  /** Resources that one task or request requires. */
  readonly resources: Resources;
  /** Whether it is safe to run a task or request more than once. */
  readonly idempotent: boolean;
  /** Timeout of one task or request, milliseconds. */
  readonly timeoutMs: number;
  /** Largest number of attempts before a task is parked. */
  readonly attempts: number;
}

/** A workload definition, by kind. */
export type Workload =
  /** Long-running replicas that serve requests. */
  | (WorkloadCommon & {
    readonly kind: "service";
    /** Number of replicas to run; 0 if the platform runs one on every worker. */
    readonly replicas: number;
    /** Path prefix of requests at the upstream. */
    readonly path: string;
  })
  /** Tasks that run to completion independently of one another. */
  | (WorkloadCommon & {
    readonly kind: "batch";
    /** Deadline for completion, milliseconds after submission; 0 for none. */
    readonly dueMs: number;
  })
  /** Tasks that run all at the same time or not at all. */
  | (WorkloadCommon & {
    readonly kind: "gang";
    readonly tasks: number;
    /** Deadline for completion, milliseconds after submission; 0 for none. */
    readonly dueMs: number;
  });

/** Drains a worker: no new work is placed on it. */
export interface Drain {
  readonly name: string;
  readonly worker: string;
}

/** Evacuates a zone: no new work is placed on its workers. */
export interface Evacuation {
  readonly name: string;
  readonly zone: string;
}

/** Resumes parked work. */
export interface Resume {
  readonly name: string;
  /** ID of the work. */
  readonly work: string;
}

/** All objects of a set, by kind and name. */
export interface OperatorSet {
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: ReadonlyMap<string, Key>;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly shares: ReadonlyMap<string, Share>;
  readonly limits: ReadonlyMap<string, Limit>;
  readonly workloads: ReadonlyMap<string, Workload>;
  readonly drains: ReadonlyMap<string, Drain>;
  readonly evacuations: ReadonlyMap<string, Evacuation>;
  readonly resumes: ReadonlyMap<string, Resume>;
}

/** A published operator set. */
export interface Publication {
  /** Sequence number; increases by one with each publication. */
  readonly number: number;
  /** Unique to one publish request; tells after a lost response whether the request took effect. */
  readonly publishId: string;
  readonly operator: string;
  /** Time of publication, ISO 8601. */
  readonly at: string;
  /** INI text of the set. */
  readonly text: string;
}
