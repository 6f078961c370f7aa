/**
 * The operators' published set as the running system reads it: named objects
 * that refer to one another, checked as a whole before they are published.
 *
 * @module
 */
import type { Resources, Urgency } from "./types.ts";

/** A customer's group that submits work. */
export interface Team {
  readonly name: string;
  /** Client account that the team belongs to. */
  readonly account: string;
}

/** A key that lets work in for one team. Only a salted hash is kept. */
export interface Key {
  readonly name: string;
  readonly team: string;
  /** Hex. */
  readonly salt: string;
  /** Hex of scrypt or SHA-256 over salt and secret. */
  readonly hash: string;
  readonly withdrawn: boolean;
}

/** Where work of a kind waits. */
export interface Queue {
  readonly name: string;
  readonly urgency: Urgency;
  /** Open to all: work is taken without a key and counted for `team`. */
  readonly open: boolean;
  /** Teams that may use it; for an open queue the one team that it counts for. */
  readonly teams: readonly string[];
  /** Most that may wait at one instance. */
  readonly maxWaiting: number;
  /** Longest time that an urgent request may wait, milliseconds. */
  readonly maxWaitMs: number;
}

/** A team's weight when the fleet is full. */
export interface Share {
  readonly name: string;
  readonly team: string;
  readonly weight: number;
}

/** Most that a team may have running across the whole fleet. */
export interface Limit {
  readonly name: string;
  readonly team: string;
  /** Tasks and requests running at once. */
  readonly running: number;
}

/** Settings that every kind of workload has. */
export interface WorkloadCommon {
  readonly name: string;
  readonly queue: string;
  /** What one task or request takes. */
  readonly resources: Resources;
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
  /** Longest run of one task or request, milliseconds. */
  readonly timeoutMs: number;
  /** Attempts before a task is parked. */
  readonly attempts: number;
}

/** What can be run, by kind. */
export type Workload =
  /** Long-running replicas that answer requests. */
  | (WorkloadCommon & {
    readonly kind: "service";
    /** Replicas to keep running; 0 where the platform runs them on every worker. */
    readonly replicas: number;
    /** Path prefix that requests are sent to on the upstream. */
    readonly path: string;
  })
  /** Tasks that run to their end, each on its own. */
  | (WorkloadCommon & {
    readonly kind: "batch";
    /** Time from submission in which it should be done, milliseconds; 0 if none. */
    readonly dueMs: number;
  })
  /** Tasks that run all at once or not at all. */
  | (WorkloadCommon & {
    readonly kind: "gang";
    readonly tasks: number;
    readonly dueMs: number;
  });

/** Takes a worker out of use: it gets no new work. */
export interface Drain {
  readonly name: string;
  readonly worker: string;
}

/** Takes all workers of a zone out of use: they get no new work. */
export interface Evacuate {
  readonly name: string;
  readonly zone: string;
}

/** Lets parked work run again. */
export interface Resume {
  readonly name: string;
  /** Identifier of the work. */
  readonly work: string;
}

/** The whole set. */
export interface OperatorSet {
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: ReadonlyMap<string, Key>;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly shares: ReadonlyMap<string, Share>;
  readonly limits: ReadonlyMap<string, Limit>;
  readonly workloads: ReadonlyMap<string, Workload>;
  readonly drains: ReadonlyMap<string, Drain>;
  readonly evacuations: ReadonlyMap<string, Evacuate>;
  readonly resumes: ReadonlyMap<string, Resume>;
}

/** A set as published. */
export interface Publication {
  /** Grows by one with each publication. */
  readonly number: number;
  /** Unique to one attempt to publish; settles lost answers. */
  readonly publishId: string;
  readonly operator: string;
  /** ISO 8601. */
  readonly at: string;
  /** The INI text of the set. */
  readonly text: string;
}
