/**
 * Reports this instance's backlog and the free capacity of its workers to the
 * peers.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { LoadReportSchedule } from "../policy/load_report_schedule.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { WaitingQueue } from "../policy/waiting_queue.ts";
import type { RunPermits } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import { elementwiseMax, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { type LoadReport, loadReportNotice } from "../wire/dispatch.ts";
import type { Placement } from "./placement.ts";

/**
 * Minimum interval between load reports while urgent work waits, milliseconds.
 */
const URGENT_MIN_INTERVAL_MS = 1;
/** Minimum interval between load reports otherwise, milliseconds. */
const ORDINARY_MIN_INTERVAL_MS = 20;
/** Interval of load reports while nothing changes, milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_000;

/** Contents and recipients of load reports. */
export interface LoadReporterOptions {
  readonly placement: Placement;
  readonly allowances: RunPermits;
  /** Teams that have an upper limit. */
  readonly limitedTeams: () => Iterable<string>;
  readonly pool: WorkerPool;
  readonly queue: WaitingQueue;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
}

/** Sends load reports when something has changed, and as a heartbeat. */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  #sequence = 0;
  #lastFingerprint = "";
  #timer: Timer | undefined;
  readonly #announcer = new LoadReportSchedule({
    ordinaryGapMs: ORDINARY_MIN_INTERVAL_MS,
    pressingGapMs: URGENT_MIN_INTERVAL_MS,
  });
  #stopped = false;

  constructor(options: LoadReporterOptions) {
    this.#options = options;
    this.#heartbeat();
  }

  /** Stops all timers. */
  stop(): void {
    this.#stopped = true;
    this.#timer?.cancel();
  }

  /**
   * Sends a load report if it differs from the last one: at once while urgent
   * work waits, otherwise after the minimum interval.
   */
  sendSoon(): void {
    if (this.#stopped) return;
    const nowMs = this.#options.clock.monotonic();
    this.#announcer.recordChange(
      this.#urgentWaits() ? "pressing" : "ordinary",
      nowMs,
    );
    this.#timer?.cancel();
    const delayMs = this.#announcer.dueAtMs - nowMs;
    if (delayMs <= 0) return this.#send(false);
    this.#timer = this.#options.clock.after(
      delayMs,
      () => this.#send(false),
    );
  }

  #urgentWaits(): boolean {
    const heads = this.#options.queue.heads({ urgency: "urgent" });
    return heads.next().done !== true;
  }

  #heartbeat(): void {
    if (this.#stopped) return;
    this.#send(true);
    this.#options.clock.after(HEARTBEAT_INTERVAL_MS, () => this.#heartbeat());
  }

  #send(evenIfUnchanged: boolean): void {
    const report = this.#createReport();
    const fingerprint = JSON.stringify([
      report.free,
      report.spare,
      backlogCounts(report),
    ]);
    this.#announcer.recordSent(this.#options.clock.monotonic());
    if (!evenIfUnchanged && fingerprint === this.#lastFingerprint) return;
    this.#lastFingerprint = fingerprint;
    const numbered = { ...report, sequence: ++this.#sequence };
    for (const peer of this.#options.members()) {
      this.#options.peers.notify(peer, loadReportNotice, numbered);
    }
  }

  #createReport(): LoadReport {
    const { clock, placement, pool, queue } = this.#options;
    const { free, capacity } = pool.totals();
    return {
      sequence: this.#sequence,
      free: this.#urgentWaits() ? zeroResources : free,
      spare: this.#spare(),
      largest: largestFreeCapacity(pool),
      capacity,
      backlog: queue.summary(clock.monotonic())
        .map((entry) => ({ ...entry, dueInMs: entry.dueInMs })),
      usage: Object.fromEntries(placement.usage()),
    };
  }

  /** Available allowance of the teams that have a limit. */
  #spare(): Record<string, number> {
    const { allowances, limitedTeams } = this.#options;
    const spare: Record<string, number> = {};
    for (const team of limitedTeams()) {
      const available = allowances.available(team);
      if (available > 0) spare[team] = available;
    }
    return spare;
  }
}

function backlogCounts(report: LoadReport): string[] {
  return report.backlog.map((entry) =>
    `${entry.urgency} ${entry.team} ${entry.workload} ${entry.count}`
  );
}

/** The most that any one worker has free, for each resource separately. */
function largestFreeCapacity(pool: WorkerPool): Resources {
  return [...pool.ids()]
    .filter((id) => pool.isUsable(id))
    .map((id) => pool.free(id) ?? zeroResources)
    .reduce(elementwiseMax, zeroResources);
}
