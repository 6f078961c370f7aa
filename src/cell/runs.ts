/**
 * The life of a run up to its end: recorded, ordered, stopped, given up.
 *
 * @module
 */
import {
  type CellContext,
  persist,
  queueOf,
  reviewJob,
  reviewStep,
} from "./context.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import { dueMs, isOver, type Job, type StepRun } from "./job.ts";
import type { Place } from "./decisions/placement.ts";
import { timeFactorOf } from "./decisions/worker_choice.ts";
import type { StartAnswer } from "./ports.ts";
import { barredRuns } from "./decisions/barred_runs.ts";
import { isWanted, repeatOrder } from "./repeated_order.ts";
import { addressOf, gangCheckpoint, leaseBoundMs, newRun } from "./run.ts";

/** Leases stay below the longest by this, milliseconds, so that a clock read a moment ago does. */
const LEASE_SLACK_MS = 50;
/** A stop that is not confirmed or not seen is sent again after this, milliseconds. */
const STOP_AGAIN_MS = 400;
/** A worker that refused as unhealthy or could not be reached is left alone so long, milliseconds. */
const AVOID_MS = 700;
/** A run that makes no progress for so long, though its worker answers, is started elsewhere, milliseconds. */
const STALL_MS = 3_000;
/** Its worker gets nothing new for so long, milliseconds. */
const STALL_AVOID_MS = 5_000;

/** Reports of a worker on demand, for a run whose order was not answered. */
export type LookNow = (worker: FleetWorker) => Promise<unknown>;

/** Starts and stops runs. */
export class Runs {
  readonly #context: CellContext;
  readonly #lookNow: LookNow;

  constructor(context: CellContext, lookNow: LookNow) {
    this.#context = context;
    this.#lookNow = lookNow;
  }

  /** Takes room for the places, records that, then gives the orders. */
  start(step: StepRun, places: readonly Place[]): void {
    const { clock, fleet, evacuations } = this.#context;
    const gangRun = 1 + Math.max(...step.tasks.map((task) => task.run));
    const checkpoint = step.spec.gang ? gangCheckpoint(step) : undefined;
    const runs = places.map(({ task, worker, ticket }) => {
      task.run = step.spec.gang ? gangRun : task.run + 1;
      task.phase = "assigned";
      task.worker = worker.id;
      if (checkpoint !== undefined) task.checkpoint = checkpoint;
      const run = newRun(step, { task, worker, nowMs: clock.monotonic() });
      fleet.take(run);
      return { run, ticket };
    });
    this.#begin(step.job);
    reviewStep(this.#context, step);
    persist(this.#context, step.job).then((saved) => {
      if (saved !== "saved") return;
      // Zones may have been evacuated while the start was recorded.
      const recorded = runs.map(({ run }) => run);
      const { barred, reason } = barredRuns(recorded, evacuations);
      for (const run of barred) this.lose(run, reason);
      for (const { run, ticket } of runs) void this.#send(run, ticket);
    });
  }

  /** Tells a worker to end a run, again and again until it is seen to have ended. */
  stop(run: Run): void {
    const { clock, orders, fence, holds } = this.#context;
    const now = clock.monotonic();
    run.stopping = true;
    if (run.stopSentMs + STOP_AGAIN_MS > now || !holds()) return;
    run.stopSentMs = now;
    const address = addressOf(run.worker);
    if (address === undefined) return;
    const order = { task: run.task.id, run: run.number, fence };
    orders.stop(address, order).then((confirmed) => {
      // From now on the worker refuses the run if it was not there.
      if (confirmed) run.provableAfterMs ??= clock.monotonic();
      else run.stopSentMs = clock.monotonic() - STOP_AGAIN_MS / 2;
    });
  }

  /** Gives up a run that is not on its worker and will not be. */
  lose(run: Run, why: string): void {
    const { fleet, log, metrics, fence } = this.#context;
    if (!fleet.release(run)) return;
    const { task, step, worker } = run;
    log.info("run.lost", {
      job: step.job.id,
      task: task.id,
      run: run.number,
      worker: worker.id,
      fence,
      reason: why,
    });
    metrics.count("runs_lost", { reason: why });
    if (task.phase !== "assigned" || task.run !== run.number) return;
    task.phase = "waiting";
    this.settle(step);
  }

  #begin(job: Job): void {
    if (job.begun) return;
    job.begun = true;
    const { clock, metrics } = this.#context;
    const waitedMs = clock.now().getTime() - dueMs(job, 0);
    metrics.observe("first_start_ms", waitedMs, { queue: job.queue });
  }

  /** Gives up everything on a worker. */
  loseAll(worker: FleetWorker, why: string): void {
    for (const run of [...worker.runs.values()]) this.lose(run, why);
  }

  /** Stops what still runs of a job that is over. */
  stopJob(job: Job): void {
    for (const worker of this.#context.fleet.workers.values()) {
      for (const run of worker.runs.values()) {
        if (run.step.job === job) this.stop(run);
      }
    }
  }

  /** Takes a job that was not accepted out of the line and gives its room back. */
  abandon(job: Job): void {
    const { fleet, open } = this.#context;
    for (const step of [...job.occurrences.values()].flat()) {
      open.delete(step);
      for (const task of step.tasks) {
        const run = fleet.workers.get(task.worker)?.runs.get(task.id);
        if (run !== undefined) fleet.release(run);
      }
    }
    this.#context.kick();
  }

  /** A gang runs whole or not at all: the rest of a broken one is stopped. */
  settle(step: StepRun): void {
    if (step.spec.gang && step.left > 0) {
      const broken = step.tasks.some((task) => task.phase === "waiting");
      if (broken) this.#stopStep(step);
    }
    reviewJob(this.#context, step.job);
    this.#context.kick();
  }

  /** Sends stops again that have not had their effect, and ends what leases have ended. */
  tick(): void {
    const now = this.#context.clock.monotonic();
    for (const worker of this.#context.fleet.workers.values()) {
      if (!worker.reachable && worker.leaseBoundMs <= now) {
        this.loseAll(worker, "leaseEnded");
      }
      for (const run of worker.runs.values()) {
        if (run.stopping) this.stop(run);
        else if (this.#isStalled(run, now)) this.#giveUpStalled(run);
      }
    }
  }

  /** End of a lease on a worker's clock, and its latest end by ours. */
  leaseFor(worker: FleetWorker): number | undefined {
    const { clock, maxLeaseMs } = this.#context;
    if (worker.clockOffsetMs === undefined) return undefined;
    const now = clock.monotonic();
    const boundMs = now + leaseBoundMs(maxLeaseMs);
    worker.leaseBoundMs = Math.max(worker.leaseBoundMs, boundMs);
    return now + worker.clockOffsetMs + maxLeaseMs - LEASE_SLACK_MS;
  }

  /** Whether a worker that answers has not moved a run on. Services stay at 100 percent. */
  #isStalled(run: Run, nowMs: number): boolean {
    const { worker, step } = run;
    if (!run.seen || !worker.reachable || step.spec.longRunning) return false;
    if (run.percent >= 100) return false;
    return nowMs - run.progressMs > STALL_MS &&
      worker.reportedMs > run.progressMs;
  }

  #giveUpStalled(run: Run): void {
    const { clock, log, metrics, fence } = this.#context;
    const now = clock.monotonic();
    log.warn("run.stalled", {
      job: run.step.job.id,
      task: run.task.id,
      run: run.number,
      worker: run.worker.id,
      fence,
      percent: run.percent,
      stillMs: Math.round(now - run.progressMs),
    });
    metrics.count("runs_stalled");
    run.worker.avoidUntilMs = now + STALL_AVOID_MS;
    this.stop(run);
  }

  async #send(run: Run, ticket: string | undefined): Promise<void> {
    const { clock, orders, fence, holds } = this.#context;
    const { step, task, worker } = run;
    const address = addressOf(worker);
    if (!isWanted(run)) return;
    if (isOver(step.job) || !holds() || address === undefined) {
      return this.lose(run, "notOrdered");
    }
    const sentMs = clock.monotonic();
    const ticketMs = queueOf(this.#context, step.job).advice?.ticketMs;
    if (ticketMs !== undefined && sentMs - run.placedMs > ticketMs) {
      return this.lose(run, "ticketExpired");
    }
    // Asked for last: it counts as a renewal that the worker may get.
    const leaseUntilMs = this.leaseFor(worker);
    if (leaseUntilMs === undefined) return this.lose(run, "notOrdered");
    const order = {
      task: task.id,
      run: run.number,
      spec: step.job.spec.payload,
      leaseUntilMs,
      fence,
      checkpoint: task.checkpoint,
      ...(ticket === undefined ? {} : { ticket }),
    };
    // An end may be reported before the answer.
    run.startedMs = sentMs;
    const first = await orders.start(address, order);
    // The order takes as long to the worker as the answer back; a busy process reads answers late.
    run.startedMs = first.type === "started"
      ? (sentMs + clock.monotonic()) / 2
      // It may be carried out at any later time: its run time will not be known.
      : undefined;
    const answer = first.type === "unknown"
      ? await repeatOrder(this.#context, {
        run,
        start: () => orders.start(address, order),
      })
      : first;
    this.#logStart(run, answer, sentMs);
    this.#started(run, answer);
  }

  #started(run: Run, answer: StartAnswer): void {
    const { clock, deposed } = this.#context;
    const now = clock.monotonic();
    const { worker, step } = run;
    switch (answer.type) {
      case "started":
        run.provableAfterMs ??= now;
        if (run.stopping || isOver(step.job)) this.stop(run);
        return;
      case "unreached":
        worker.avoidUntilMs = now + AVOID_MS;
        return this.lose(run, "unreached");
      case "unknown":
        worker.avoidUntilMs = now + AVOID_MS;
        void this.#settleUnknown(run);
        return;
      case "rejected":
        if (answer.reason === "fenced") return deposed("a worker refused");
        if (answer.reason === "ticket") step.advice.tickets.delete(worker.id);
        else worker.avoidUntilMs = now + AVOID_MS;
        if (answer.reason === "tooLate") worker.clockOffsetMs = undefined;
        return this.lose(run, answer.reason);
    }
  }

  /** Finds out whether an unanswered order was carried out; forbids it if not. */
  async #settleUnknown(run: Run): Promise<void> {
    await this.#lookNow(run.worker);
    const there = run.worker.runs.get(run.task.id) === run;
    if (!there || run.seen) return;
    this.stop(run);
  }

  #stopStep(step: StepRun): void {
    for (const task of step.tasks) {
      if (task.phase !== "assigned") continue;
      const run = this.#context.fleet.workers.get(task.worker)?.runs
        .get(task.id);
      if (run !== undefined) this.stop(run);
    }
  }

  #logStart(run: Run, answer: StartAnswer, sentMs: number): void {
    const { log, metrics, clock, fence, runTimes } = this.#context;
    const timeFactor = timeFactorOf(run.worker);
    const outcome = answer.type === "rejected" ? answer.reason : answer.type;
    const now = clock.monotonic();
    metrics.count("starts", { outcome });
    metrics.observe("start_ms", now - sentMs);
    log.info("run.start", {
      job: run.step.job.id,
      task: run.task.id,
      run: run.number,
      worker: run.worker.id,
      fence,
      reportAgeMs: Math.round(now - run.worker.reportedMs),
      tookMs: Math.round(now - sentMs),
      timeFactor: timeFactor.toFixed(2),
      expectedMs: Math.round(runTimes.expectedMs(run.step, 0.5) * timeFactor),
      outcome,
    });
  }
}
