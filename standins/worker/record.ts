/**
 * What really happened on a worker, for checkers.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { BoundedLog } from "../common/bounded_log.ts";
import type { Resources } from "./usage.ts";

/** How the answer to a request ended. */
export type RequestEnd =
  | "answered"
  | "failed"
  | "refused"
  | "truncated"
  | "silent"
  | "clientGone";

/** How a task attempt ended. */
export type AttemptEnd =
  | "succeeded"
  | "failed"
  | "stopped"
  | "leaseLapsed"
  | "workerClosed";

/** One request; without `endedAtMs` it is still being worked on. */
export interface RequestEntry {
  readonly requestId?: string | undefined;
  readonly idempotencyKey?: string | undefined;
  readonly method: string;
  readonly path: string;
  /** Milliseconds since 1970, with fractions. */
  readonly startedAtMs: number;
  readonly leaving: boolean;
  endedAtMs?: number;
  end?: RequestEnd;
}

/** One run of one task attempt; without `endedAtMs` it is still running. */
export interface AttemptEntry {
  readonly task: string;
  readonly attempt: string;
  readonly team: string;
  readonly workload: string;
  readonly fence: number;
  readonly resources: Resources;
  /** Milliseconds since 1970, with fractions. */
  readonly startedAtMs: number;
  endedAtMs?: number;
  end?: AttemptEnd;
}

/** A start that was turned down. */
export interface RefusalEntry {
  readonly attempt: string;
  readonly fence: number;
  readonly reason: "fenced" | "leaving" | "cancelled";
  readonly atMs: number;
}

/** Bounds on what is kept. */
export interface RecordLimits {
  readonly requests: number;
  readonly attempts: number;
  readonly refusals: number;
}

const DEFAULT_LIMITS: RecordLimits = {
  requests: 50_000,
  attempts: 50_000,
  refusals: 5000,
};

/** Wall-clock milliseconds with fractions, comparable between processes of one machine. */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Requests, attempts and refusals of one worker. */
export class Record {
  readonly #requests: BoundedLog<RequestEntry>;
  readonly #attempts: BoundedLog<AttemptEntry>;
  readonly #refusals: BoundedLog<RefusalEntry>;
  #requestCount = 0;
  #attemptCount = 0;

  constructor(limits: RecordLimits = DEFAULT_LIMITS) {
    this.#requests = new BoundedLog(limits.requests);
    this.#attempts = new BoundedLog(limits.attempts);
    this.#refusals = new BoundedLog(limits.refusals);
  }

  /** Requests that have come in. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Keeps the start of a request. */
  requestStarted(entry: RequestEntry): void {
    this.#requestCount += 1;
    this.#requests.add(entry);
  }

  /** Keeps the start of an attempt. */
  attemptStarted(entry: AttemptEntry): void {
    this.#attemptCount += 1;
    this.#attempts.add(entry);
  }

  /** Keeps a refused start. */
  refused(entry: RefusalEntry): void {
    this.#refusals.add(entry);
  }

  /** Everything as a JSON object. */
  report(): Readonly<{ [field: string]: unknown }> {
    return {
      requestCount: this.#requestCount,
      requests: this.#requests.entries,
      requestsDropped: this.#requests.dropped,
      attemptCount: this.#attemptCount,
      attempts: this.#attempts.entries,
      attemptsDropped: this.#attempts.dropped,
      refusals: this.#refusals.entries,
    };
  }
}
