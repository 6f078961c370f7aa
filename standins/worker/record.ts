/**
 * Ground truth of a worker's activity, for the checkers of tests.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { BoundedLog } from "../common/bounded_log.ts";
import type { Resources } from "./usage.ts";

/** Outcome of a request. */
export type RequestOutcome =
  | "answered"
  | "failed"
  | "refused"
  | "truncated"
  | "silent"
  | "clientGone";

/** Outcome of a task attempt. */
export type AttemptOutcome =
  | "succeeded"
  | "failed"
  | "stopped"
  | "leaseLapsed"
  | "workerClosed";

/** Record of a request; `endedAtMs` and `end` are absent while it is in progress. */
export interface RequestEntry {
  readonly requestId?: string | undefined;
  readonly idempotencyKey?: string | undefined;
  readonly method: string;
  readonly path: string;
  /** Unix time in milliseconds, with fractions. */
  readonly startedAtMs: number;
  readonly leaving: boolean;
  endedAtMs?: number;
  end?: RequestOutcome;
}

/** Record of a task attempt; `endedAtMs` and `end` are absent while it runs. */
export interface AttemptEntry {
  readonly task: string;
  readonly attempt: string;
  readonly team: string;
  readonly workload: string;
  readonly fence: number;
  readonly resources: Resources;
  /** Unix time in milliseconds, with fractions. */
  readonly startedAtMs: number;
  endedAtMs?: number;
  end?: AttemptOutcome;
}

/** Record of a rejected start request. */
export interface RefusalEntry {
  readonly attempt: string;
  readonly fence: number;
  readonly reason: "fenced" | "leaving" | "cancelled";
  readonly atMs: number;
}

/** Maximum number of entries of each kind. */
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

/** Unix time in milliseconds with fractions, comparable between processes of one machine. */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Records requests, attempts and rejected starts of one worker. */
export class ActivityRecord {
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

  /** Number of requests received. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Records a request. */
  addRequest(entry: RequestEntry): void {
    this.#requestCount += 1;
    this.#requests.add(entry);
  }

  /** Records an attempt. */
  addAttempt(entry: AttemptEntry): void {
    this.#attemptCount += 1;
    this.#attempts.add(entry);
  }

  /** Records a rejected start. */
  addRefusal(entry: RefusalEntry): void {
    this.#refusals.add(entry);
  }

  /** Counts and entries as a JSON object. */
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
