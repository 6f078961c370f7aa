/**
 * What one holder does by the clock.
 *
 * @module
 */
import { sleep } from "../clock.ts";
import { type CellContext, reviewJob } from "./context.ts";
import { type Coverage, coverageText } from "./decisions/forecasts.ts";
import { roomOn, runsInEvacuated, takesWork } from "./fleet.ts";
import { dueMs, occurrencesOf, openOccurrence, type StepRun } from "./job.ts";
import type { Runs } from "./runs.ts";
import { WAIT_REASONS, type WaitReason } from "./step_waits.ts";

/** Stops, lapses and due times are looked at this often, milliseconds. */
const TICK_MS = 100;
/** The load of the cell is told this often, milliseconds. */
const LOAD_EVERY_MS = 1_000;
/** An occurrence is opened this long before it is due, milliseconds; the platform allows 250. */
const EARLY_MS = 20;
/** Ended jobs are kept for this factor of the time that the platform asks for. */
const RETENTION_FACTOR = 2;
/** Most jobs forgotten in a tick. */
const MAX_FORGOTTEN = 20;

/** The timed work of one holder. */
export class Housekeeping {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #retentionMs: number;
  readonly #questions: () => number;
  readonly #passMs: () => number;
  #closed = false;
  /** Longest delay of a timer since the load was last told, milliseconds. */
  #lateMs = 0;

  constructor(
    context: CellContext,
    { runs, retentionMs, questions, passMs }: {
      readonly runs: Runs;
      /** How long ended jobs are told of, milliseconds. */
      readonly retentionMs: number;
      /** Questions for advice under way. */
      readonly questions: () => number;
      /** Time that passes took since it was last asked, milliseconds. */
      readonly passMs: () => number;
    },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#retentionMs = retentionMs;
    this.#questions = questions;
    this.#passMs = passMs;
  }

  /** Works until it is closed. */
  async run(): Promise<void> {
    const { clock, open, holds, kick } = this.#context;
    let loadAtMs = clock.monotonic();
    while (!this.#closed) {
      const dueAtMs = clock.monotonic() + TICK_MS;
      await sleep(clock, TICK_MS);
      if (this.#closed) return;
      this.#lateMs = Math.max(this.#lateMs, clock.monotonic() - dueAtMs);
      if (holds()) this.#runs.tick();
      this.#openDue();
      this.#forgetOld();
      if (open.size > 0) kick();
      if (clock.monotonic() - loadAtMs < LOAD_EVERY_MS) continue;
      loadAtMs = clock.monotonic();
      this.#tellLoad();
    }
  }

  /** Stops. */
  close(): void {
    this.#closed = true;
  }

  /** Opens the occurrences of recurring jobs that are due. */
  #openDue(): void {
    const now = this.#context.clock.now().getTime();
    for (const job of this.#context.jobs.values()) {
      if (job.spec.recurrence === undefined || !job.stored) continue;
      const next = job.occurrences.size;
      if (next >= occurrencesOf(job)) continue;
      if (now < dueMs(job, next) - EARLY_MS) continue;
      openOccurrence(job, next);
      reviewJob(this.#context, job);
    }
  }

  #forgetOld(): void {
    const { ended, clock, jobLog } = this.#context;
    const before = clock.now().getTime() -
      RETENTION_FACTOR * this.#retentionMs;
    let forgotten = 0;
    for (const end of ended.values()) {
      if (end.endedMs > before || forgotten === MAX_FORGOTTEN) return;
      ended.delete(end.id);
      jobLog.forget(end.id);
      forgotten++;
    }
  }

  /** Counts the forecasts since the last time. */
  #takeForecasts(): readonly Coverage[] {
    const { forecasts, metrics } = this.#context;
    const taken = forecasts.take();
    for (const { queue, runs, withinP50, withinP90 } of taken) {
      metrics.count("forecast_runs", { queue }, runs);
      metrics.count("forecast_within_p50", { queue }, withinP50);
      metrics.count("forecast_within_p90", { queue }, withinP90);
    }
    return taken;
  }

  #tellLoad(): void {
    const { clock, log, fence, fleet, jobs, open, jobLog } = this.#context;
    const { zones } = this.#context.evacuations;
    const { workerSpeeds } = this.#context;
    const workers = [...fleet.workers.values()];
    const writes = jobLog.takeWork();
    const usable = workers.filter((one) => takesWork(one, clock.monotonic()));
    const freeMillis = usable.reduce(
      (sum, one) => sum + roomOn(one).cpuMillis,
      0,
    );
    log.info("cell.load", {
      fence,
      jobs: jobs.size,
      openSteps: open.size,
      ...waitingByReason(open),
      runs: workers.reduce((sum, one) => sum + one.runs.size, 0),
      workers: workers.length,
      usable: usable.length,
      freeCores: Math.round(freeMillis / 1000),
      questions: this.#questions(),
      passMs: Math.round(this.#passMs()),
      lateMs: Math.round(this.#lateMs),
      commits: writes.commits,
      slowestCommitMs: Math.round(writes.slowestMs),
      unwritten: writes.waiting,
      storeStuckMs: Math.round(jobLog.stuckMs()),
      unevenServices: workerSpeeds.uneven,
      speedSpread: workerSpeeds.spread.toFixed(2),
      withinForecast: coverageText(this.#takeForecasts()),
      ...(zones.length === 0 ? {} : {
        evacuated: zones.join(","),
        evacuatedRuns: runsInEvacuated(fleet),
      }),
    });
    this.#lateMs = 0;
  }
}

/** Steps that wait, by reason: `waitNoRoom` and so on. */
function waitingByReason(
  open: Iterable<StepRun>,
): Readonly<Record<string, number>> {
  const counts = new Map<WaitReason, number>();
  for (const { waits: { reason } } of open) {
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
