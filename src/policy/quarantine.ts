/**
 * Quarantines workers that fail work which succeeds on other workers.
 *
 * @module
 */
import { DecayedCount } from "./decayed_count.ts";

/** Decayed numbers of attempts and failures of one workload. */
export interface FailureCount {
  readonly workload: string;
  readonly attempts: number;
  readonly failures: number;
}

/** Whether a worker may be used. */
export type WorkerHealth =
  | { readonly type: "trusted" }
  /** Gets no work until `untilMs`, monotonic milliseconds. */
  | { readonly type: "quarantined"; readonly untilMs: number }
  /** The quarantine time is over: the worker may get one attempt, the probe, whose outcome ends or prolongs the quarantine. */
  | { readonly type: "probing" };

/** The outcome of one attempt. */
export interface AttemptOutcome {
  readonly worker: string;
  readonly workload: string;
  readonly failed: boolean;
  readonly nowMs: number;
}

interface QuarantineState {
  /** Number of failed probes since the quarantine began. */
  failedProbes: number;
  untilMs: number;
  /** When the probe in flight began, monotonic milliseconds; absent without a probe. */
  probeStartedAtMs: number | undefined;
}

interface WorkloadCounts {
  readonly attempts: DecayedCount;
  readonly failures: DecayedCount;
}

/** Time constant with which the counts of attempts and failures decay. */
const COUNT_TIME_CONSTANT_MS = 60_000;
/** Minimum number of a worker's failures, over all workloads, for a quarantine of the worker. */
const MIN_FAILURES = 3;
/** Minimum failure rate of a worker, over all workloads, for a quarantine of the worker. */
const MIN_FAILURE_RATE = 0.5;
/** How many times the failures expected from other workers' rates a worker must exceed to be quarantined. */
const MIN_PEER_RATIO = 3;
/** Duration of the first quarantine; doubled with each failed probe. */
const INITIAL_QUARANTINE_MS = 5_000;
/** Maximum duration of a quarantine. */
const MAX_QUARANTINE_MS = 300_000;
/** Timeout of a probe, after which another one is allowed. */
const PROBE_TIMEOUT_MS = 30_000;
/** Maximum fraction of the workers that may be quarantined at once. */
const MAX_QUARANTINED_FRACTION = 0.25;

/** Tracks the health of the owned workers. */
export class Quarantine {
  readonly #counts = new Map<string, Map<string, WorkloadCounts>>();
  readonly #quarantined = new Map<string, QuarantineState>();
  readonly #peerCounts = new Map<string, readonly FailureCount[]>();

  /** Adds a worker as trusted; a known worker keeps its health. */
  add(worker: string): void {
    if (!this.#counts.has(worker)) this.#counts.set(worker, new Map());
  }

  /** Removes a worker. */
  remove(worker: string): void {
    this.#counts.delete(worker);
    this.#quarantined.delete(worker);
  }

  /** Records the outcome of an attempt and returns the worker's health after it. */
  record(outcome: AttemptOutcome): WorkerHealth {
    const counts = this.#counts.get(outcome.worker);
    if (counts === undefined) return { type: "trusted" };
    const count = counts.get(outcome.workload) ?? newWorkloadCounts();
    counts.set(outcome.workload, count);
    count.attempts.add(1, outcome.nowMs);
    if (outcome.failed) count.failures.add(1, outcome.nowMs);
    this.#updateQuarantine(outcome);
    return this.health(outcome.worker, outcome.nowMs);
  }

  /** The worker's health at the given time. */
  health(worker: string, nowMs: number): WorkerHealth {
    const state = this.#quarantined.get(worker);
    if (state === undefined) return { type: "trusted" };
    const untilMs = state.probeStartedAtMs === undefined
      ? state.untilMs
      : state.probeStartedAtMs + PROBE_TIMEOUT_MS;
    return nowMs < untilMs
      ? { type: "quarantined", untilMs }
      : { type: "probing" };
  }

  /** Records that a worker whose quarantine time is over has been given its probe, a single attempt. */
  beginProbe(worker: string, nowMs: number): void {
    const state = this.#quarantined.get(worker);
    if (state !== undefined) state.probeStartedAtMs = nowMs;
  }

  /** Decayed numbers of attempts and failures by workload, over all owned workers, to be sent to peers. */
  counts(nowMs: number): FailureCount[] {
    const sums = new Map<string, { attempts: number; failures: number }>();
    for (const workloads of this.#counts.values()) {
      for (const [workload, count] of workloads) {
        const sum = sums.get(workload) ?? { attempts: 0, failures: 0 };
        sum.attempts += count.attempts.value(nowMs);
        sum.failures += count.failures.value(nowMs);
        sums.set(workload, sum);
      }
    }
    return [...sums].map(([workload, sum]) => ({ workload, ...sum }));
  }

  /** Replaces the counts of attempts and failures of a peer; an empty list removes the peer. */
  setPeerCounts(peer: string, counts: readonly FailureCount[]): void {
    if (counts.length === 0) this.#peerCounts.delete(peer);
    else this.#peerCounts.set(peer, counts);
  }

  #updateQuarantine(outcome: AttemptOutcome): void {
    const { worker, nowMs } = outcome;
    const state = this.#quarantined.get(worker);
    if (state !== undefined) this.#recordProbeOutcome(state, outcome);
    else if (this.#isFailing(worker, nowMs) && this.#canQuarantineMore()) {
      this.#quarantined.set(worker, {
        failedProbes: 0,
        untilMs: nowMs + INITIAL_QUARANTINE_MS,
        probeStartedAtMs: undefined,
      });
    }
  }

  /**
   * Applies the outcome of a probe. If no probe is in flight, the attempt began before the
   * quarantine; it is ignored because it shows nothing about the present state of the worker.
   */
  #recordProbeOutcome(state: QuarantineState, outcome: AttemptOutcome): void {
    if (state.probeStartedAtMs === undefined) return;
    if (!outcome.failed) {
      this.#quarantined.delete(outcome.worker);
      this.#counts.set(outcome.worker, new Map());
      return;
    }
    state.failedProbes += 1;
    state.probeStartedAtMs = undefined;
    const lengthMs = INITIAL_QUARANTINE_MS * 2 ** state.failedProbes;
    state.untilMs = outcome.nowMs + Math.min(MAX_QUARANTINE_MS, lengthMs);
  }

  #isFailing(worker: string, nowMs: number): boolean {
    let attempts = 0;
    let failures = 0;
    let expectedFailures = 0;
    for (const [workload, count] of this.#counts.get(worker)!) {
      const workloadAttempts = count.attempts.value(nowMs);
      attempts += workloadAttempts;
      failures += count.failures.value(nowMs);
      expectedFailures += workloadAttempts *
        this.#peerFailureRate(workload, { worker, nowMs });
    }
    return failures >= MIN_FAILURES &&
      failures >= MIN_FAILURE_RATE * attempts &&
      failures > MIN_PEER_RATIO * expectedFailures;
  }

  /** Failure rate of a workload on all workers but one; 1 if no other worker has attempted it. */
  #peerFailureRate(
    workload: string,
    except: { readonly worker: string; readonly nowMs: number },
  ): number {
    let attempts = 0;
    let failures = 0;
    for (const count of this.#peerCountsOf(workload, except)) {
      attempts += count.attempts;
      failures += count.failures;
    }
    return attempts < 1 ? 1 : failures / attempts;
  }

  *#peerCountsOf(
    workload: string,
    except: { readonly worker: string; readonly nowMs: number },
  ): Generator<Omit<FailureCount, "workload">> {
    for (const [worker, workloads] of this.#counts) {
      const ownCount = workloads.get(workload);
      if (worker === except.worker || ownCount === undefined) continue;
      yield {
        attempts: ownCount.attempts.value(except.nowMs),
        failures: ownCount.failures.value(except.nowMs),
      };
    }
    for (const counts of this.#peerCounts.values()) {
      yield* counts.filter((count) => count.workload === workload);
    }
  }

  #canQuarantineMore(): boolean {
    const workers = this.#counts.size;
    if (workers < 2) return false;
    const max = Math.max(1, Math.floor(MAX_QUARANTINED_FRACTION * workers));
    return this.#quarantined.size < max;
  }
}

function newWorkloadCounts(): WorkloadCounts {
  return {
    attempts: new DecayedCount(COUNT_TIME_CONSTANT_MS),
    failures: new DecayedCount(COUNT_TIME_CONSTANT_MS),
  };
}
