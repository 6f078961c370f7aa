/**
 * Periodic work of one leader.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import type { Fields } from "../logger.ts";
import { type CellContext, updateBacklogOfJob } from "./context.ts";
import {
  formatCoverages,
  type QueueCoverage,
} from "./decisions/forecast_accuracy.ts";
import { acceptsRuns, freeCapacityOf, runsInEvacuatedZones } from "./fleet.ts";
import { dueMs, occurrenceCount, openOccurrence, type StepRun } from "./job.ts";
import type { LongWaits } from "./long_waits.ts";
import type { Runs } from "./runs.ts";
import { WAIT_REASONS, type WaitReason } from "./step_waits.ts";

/**
 * Interval of the checks for stop requests, expired leases and due occurrences.
 */
const TICK_INTERVAL_MS = 100;
/** Interval between two log lines with the load of the cell. */
const LOAD_INTERVAL_MS = 1_000;
/**
 * Occurrences of recurring jobs are opened this long before their due time,
 * milliseconds. The users' platform allows up to 250 ms.
 */
const OCCURRENCE_LEAD_MS = 20;
/**
 * Ended jobs are kept for this multiple of the retention time that the users'
 * platform requires.
 */
const RETENTION_FACTOR = 2;
/** Maximum number of ended jobs that are removed in one tick. */
const MAX_REMOVED_PER_TICK = 20;

/** Runs the periodic work of one leader. */
export class Housekeeping {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #retentionMs: number;
  readonly #adviceInFlight: () => number;
  readonly #passMs: () => number;
  readonly #longWaits: LongWaits;
  #closed = false;
  /** Longest delay of a timer since the last load line, milliseconds. */
  #maxTimerDelayMs = 0;

  constructor(
    context: CellContext,
    { runs, retentionMs, adviceInFlight, passMs, longWaits }: {
      readonly runs: Runs;
      /** How long clients can query ended jobs, milliseconds. */
      readonly retentionMs: number;
      /** Number of advice requests in flight. */
      readonly adviceInFlight: () => number;
      /**
       * Total duration of the scheduling passes since the last call,
       * milliseconds.
       */
      readonly passMs: () => number;
      readonly longWaits: LongWaits;
    },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#retentionMs = retentionMs;
    this.#adviceInFlight = adviceInFlight;
    this.#passMs = passMs;
    this.#longWaits = longWaits;
  }

  /** Runs until {@linkcode close} is called. */
  async run(): Promise<void> {
    const { clock, backlog, isLeading, requestPass } = this.#context;
    let loadAtMs = clock.monotonic();
    while (!this.#closed) {
      const dueAtMs = clock.monotonic() + TICK_INTERVAL_MS;
      await sleep(clock, TICK_INTERVAL_MS);
      if (this.#closed) return;
      this.#maxTimerDelayMs = Math.max(
        this.#maxTimerDelayMs,
        clock.monotonic() - dueAtMs,
      );
      if (isLeading()) this.#runs.tick();
      this.#openDueOccurrences();
      this.#removeExpiredJobs();
      this.#longWaits.tick();
      if (backlog.size > 0) requestPass();
      if (clock.monotonic() - loadAtMs < LOAD_INTERVAL_MS) continue;
      loadAtMs = clock.monotonic();
      this.#logLoad();
    }
  }

  /** Stops the periodic work. */
  close(): void {
    this.#closed = true;
    this.#longWaits.close();
  }

  /** Opens the occurrences of recurring jobs that are due or about to be. */
  #openDueOccurrences(): void {
    const now = this.#context.clock.now().getTime();
    for (const job of this.#context.jobs.values()) {
      if (job.spec.recurrence === undefined || !job.stored) continue;
      const next = job.occurrences.size;
      if (next >= occurrenceCount(job)) continue;
      if (now < dueMs(job, next) - OCCURRENCE_LEAD_MS) continue;
      openOccurrence(job, next);
      updateBacklogOfJob(this.#context, job);
    }
  }

  #removeExpiredJobs(): void {
    const { ended, clock, jobLog } = this.#context;
    const before = clock.now().getTime() -
      RETENTION_FACTOR * this.#retentionMs;
    let removed = 0;
    for (const end of ended.values()) {
      if (end.endedMs > before || removed === MAX_REMOVED_PER_TICK) return;
      ended.delete(end.id);
      jobLog.removeEndRecord(end.id);
      removed++;
    }
  }

  /**
   * Counts the forecasts since the last call in the metrics and returns them.
   */
  #takeCoverage(): readonly QueueCoverage[] {
    const { forecasts, metrics } = this.#context;
    const coverage = forecasts.takeCoverages();
    for (const { queue, runs, withinP50, withinP90 } of coverage) {
      metrics.count("forecast_runs", { queue }, runs);
      metrics.count("forecast_within_p50", { queue }, withinP50);
      metrics.count("forecast_within_p90", { queue }, withinP90);
    }
    return coverage;
  }

  #logLoad(): void {
    const { clock, log, fence, fleet, jobs, backlog, jobLog } = this.#context;
    const { zones } = this.#context.evacuations;
    const { workerSpeeds } = this.#context;
    const workers = [...fleet.workers.values()];
    const writes = jobLog.takeStats();
    const usable = workers.filter((worker) =>
      acceptsRuns(worker, clock.monotonic())
    );
    const freeMillis = usable.reduce(
      (sum, one) => sum + freeCapacityOf(one).cpuMillis,
      0,
    );
    log.info("cell.load", {
      fence,
      jobs: jobs.size,
      openSteps: backlog.size,
      ...waitCountsByReason(backlog),
      ...longWaitFields(this.#longWaits),
      runs: workers.reduce((sum, one) => sum + one.runs.size, 0),
      workers: workers.length,
      usable: usable.length,
      freeCores: Math.round(freeMillis / 1000),
      questions: this.#adviceInFlight(),
      passMs: Math.round(this.#passMs()),
      lateMs: Math.round(this.#maxTimerDelayMs),
      commits: writes.commits,
      slowestCommitMs: Math.round(writes.slowestMs),
      unwritten: writes.waiting,
      storeStuckMs: Math.round(jobLog.stuckMs()),
      unevenServices: workerSpeeds.unevenServices,
      speedSpread: workerSpeeds.spread.toFixed(2),
      withinForecast: formatCoverages(this.#takeCoverage()),
      ...(zones.length === 0 ? {} : {
        evacuated: zones.join(","),
        evacuatedRuns: runsInEvacuatedZones(fleet),
      }),
    });
    this.#maxTimerDelayMs = 0;
  }
}

/** The longest wait and its job, if there is one, and the numbers of long waits. */
function longWaitFields({ oldest, despiteRoom, unlogged }: LongWaits): Fields {
  return {
    longestWaitMs: oldest?.waitedMs,
    longestWaitJob: oldest?.job,
    waitsDespiteRoom: despiteRoom === 0 ? undefined : despiteRoom,
    waitsUnlogged: unlogged === 0 ? undefined : unlogged,
  };
}

/** Number of waiting steps by reason, with keys such as `waitNoRoom`. */
function waitCountsByReason(
  backlog: Iterable<StepRun>,
): Readonly<Record<string, number>> {
  const counts = new Map<WaitReason, number>();
  for (const { waits: { reason } } of backlog) {
    if (reason !== undefined) {
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
  }
  return Object.fromEntries(WAIT_REASONS.flatMap((reason) => {
    const count = counts.get(reason);
    const name = `wait${reason[0]!.toUpperCase()}${reason.slice(1)}`;
    return count === undefined ? [] : [[name, count]];
  }));
}
