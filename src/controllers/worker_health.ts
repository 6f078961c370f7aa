/**
 * Health of the owned workers, derived from the outcomes of runs on them and of
 * runs at the peers.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Log } from "../logger.ts";
import { Quarantine } from "../policy/quarantine.ts";
import type { Peers } from "../ports/peers.ts";
import { failureCountsNotice } from "../wire/dispatch.ts";

/** Interval at which failure counts are sent to the peers, milliseconds. */
const FAILURE_COUNTS_INTERVAL_MS = 2_000;

/** Outcome of a run as evidence of the worker's health. */
export type RunOutcome =
  | "succeeded"
  | "failed"
  /** The worker rejected the run. */
  | "refused"
  /** The outcome is no evidence of the worker's health. */
  | "unknown";

/** A run on a worker. */
export interface WorkerRun {
  readonly workload: string;
  readonly outcome: RunOutcome;
  readonly elapsedMs: number;
}

/** Dependencies of {@linkcode WorkerHealth}. */
export interface WorkerHealthOptions {
  readonly peers: Peers;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
  readonly clock: Clock;
  readonly log: Log;
}

/** Quarantines workers that fail what they run, and probes them later. */
export class WorkerHealth {
  readonly #quarantine = new Quarantine();
  readonly #options: WorkerHealthOptions;
  readonly #clock: Clock;
  #timer: Timer | undefined;

  constructor(options: WorkerHealthOptions) {
    this.#options = options;
    this.#clock = options.clock;
    const { peers } = options;
    peers.onNotification(failureCountsNotice, ({ counts }, from) => {
      this.#quarantine.setPeerCounts(from, counts);
    });
    peers.onDisconnect((peer) => this.#quarantine.setPeerCounts(peer, []));
    this.#scheduleBroadcast();
  }

  /** Stops the timer. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Adds a healthy worker. */
  add(worker: string): void {
    this.#quarantine.add(worker);
  }

  /** Removes a worker. */
  remove(worker: string): void {
    this.#quarantine.remove(worker);
  }

  /** Whether new work may be placed on a worker. */
  allows(worker: string): boolean {
    const nowMs = this.#clock.monotonic();
    return this.#quarantine.health(worker, nowMs).type !== "quarantined";
  }

  /**
   * Records that capacity was reserved on a worker. A worker that is being
   * probed gets no further work until the run has ended.
   */
  capacityReserved(worker: string): void {
    const nowMs = this.#clock.monotonic();
    if (this.#quarantine.health(worker, nowMs).type !== "probing") return;
    this.#quarantine.beginProbe(worker, nowMs);
  }

  /** Records the outcome of a run. */
  recordRun(worker: string, { workload, outcome }: WorkerRun): void {
    const failed = isFailure(outcome);
    if (failed === undefined) return;
    const nowMs = this.#clock.monotonic();
    const before = this.#quarantine.health(worker, nowMs);
    const after = this.#quarantine.record({ worker, workload, failed, nowMs });
    if (before.type === after.type) return;
    const standing = after.type;
    this.#options.log.warn("worker.standing", { worker, standing });
  }

  #scheduleBroadcast(): void {
    this.#timer = this.#clock.after(FAILURE_COUNTS_INTERVAL_MS, () => {
      this.#broadcastCounts();
      this.#scheduleBroadcast();
    });
  }

  #broadcastCounts(): void {
    const { members, peers } = this.#options;
    const counts = this.#quarantine.counts(this.#clock.monotonic());
    if (counts.length === 0) return;
    for (const peer of members()) {
      peers.notify(peer, failureCountsNotice, { counts });
    }
  }
}

/**
 * Whether an outcome counts against the worker; `undefined` if it is no
 * evidence either way.
 */
function isFailure(outcome: RunOutcome): boolean | undefined {
  switch (outcome) {
    case "succeeded":
      return false;
    case "failed":
    case "refused":
      return true;
    case "unknown":
      return undefined;
    default:
      return assertNever(outcome);
  }
}
