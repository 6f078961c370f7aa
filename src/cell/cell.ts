/**
 * One holder of the cell: takes submissions and sees them through.
 *
 * @module
 */
import { ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { recallAdvice } from "./advice_recall.ts";
import type { CellOptions } from "./cell_options.ts";
import { type CellContext, persist, reviewJob } from "./context.ts";
import { Fleet } from "./fleet.ts";
import { Follower } from "./follower.ts";
import { Housekeeping } from "./housekeeping.ts";
import { type EndedJob, type Job, newJob, waitingByQueue } from "./job.ts";
import { JobLog } from "./job_log.ts";
import { firstStartMs, isHopeless, patienceMs } from "./decisions/admission.ts";
import { LostAnswers } from "./decisions/looks.ts";
import { type Timing, timingOf } from "./decisions/order.ts";
import { LearnedState, nothingLearned } from "./learned_state.ts";
import { adopt, readLegacy, reviewAdopted } from "./recovery.ts";
import { Runs } from "./runs.ts";
import { Scheduler } from "./scheduler.ts";
import { queueNamed, teamNamed } from "./set_index.ts";
import type { Submission, SubmitOutcome } from "./submission.ts";
import type { JobState } from "./types.ts";
import { WeightMeter } from "./decisions/weight_meter.ts";
import { WorkerList } from "./worker_list.ts";

/** A waiting submission is looked at this often, milliseconds. */
const LOOK_EVERY_MS = 40;
/** A former holder that hears nobody stops within this time, milliseconds. */
export const HOLD_LIMIT_MS = 2_000;

/** The cell in the hands of this process. */
export class Cell {
  readonly #options: CellOptions;
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #follower: Follower;
  readonly #scheduler: Scheduler;
  readonly #accepting = new Map<string, Promise<SubmitOutcome>>();
  readonly #weights: WeightMeter;
  readonly #list: WorkerList;
  readonly #housekeeping: Housekeeping;
  readonly #learned: LearnedState;
  #closed = false;

  constructor(options: CellOptions) {
    this.#options = options;
    const ended = new Map<string, EndedJob>();
    const jobs = new Map<string, Job>();
    this.#weights = new WeightMeter(options.clock);
    const jobLog = new JobLog({
      cell: options.name,
      fence: options.fence,
      revision: options.revision,
      store: options.store,
      clock: options.clock,
      log: options.log,
      metrics: options.metrics,
      onDeposed: options.deposed,
      onConfirmed: options.confirmed,
      onEnded: (end) => this.#ended(end),
    });
    this.#context = {
      fence: options.fence,
      clock: options.clock,
      log: options.log,
      metrics: options.metrics,
      orders: options.orders,
      jobLog,
      fleet: options.fleet ?? new Fleet(),
      ...nothingLearned(),
      ...(options.runTimes === undefined ? {} : { runTimes: options.runTimes }),
      lostAnswers: new LostAnswers(),
      jobs,
      ended,
      open: new Set(),
      set: options.set,
      evacuations: options.evacuations,
      maxLeaseMs: options.maxLeaseMs,
      holds: () => !this.#closed && options.holds(),
      deposed: options.deposed,
      kick: () => this.#scheduler.kick(),
    };
    this.#runs = new Runs(
      this.#context,
      (worker) => this.#follower.lookNow(worker),
    );
    this.#follower = new Follower(this.#context, this.#runs);
    this.#scheduler = new Scheduler(this.#context, {
      runs: this.#runs,
      desk: options.desk,
    });
    this.#list = new WorkerList(
      this.#context,
      options.directory,
      (id) => this.#follower.follow(this.#context.fleet.open(id)),
    );
    this.#learned = new LearnedState(this.#context, options);
    this.#housekeeping = new Housekeeping(this.#context, {
      runs: this.#runs,
      retentionMs: options.retentionMs,
      questions: () => options.desk.asking,
      passMs: () => this.#scheduler.takePassMs(),
    });
  }

  /** Takes up what a former holder left; then the cell works. */
  recover(): ResultAsync<void, StoreFailure> {
    const { store, log, clock } = this.#options;
    const startedMs = clock.monotonic();
    return ResultAsync.combine([
      readLegacy(store, log),
      this.#list.read(),
      this.#learned.restore(),
    ])
      .map(([legacy, workers]) => {
        adopt(this.#context, legacy, { holdLimitMs: HOLD_LIMIT_MS });
        this.#list.take(workers);
        reviewAdopted(this.#context, this.#runs);
        void recallAdvice(this.#context, this.#options.recall);
        void this.#list.run();
        void this.#learned.run();
        void this.#housekeeping.run();
        this.#scheduler.kick();
        log.info("cell.recovered", {
          fence: this.#options.fence,
          jobs: this.#context.jobs.size,
          ended: this.#context.ended.size,
          workers: workers.length,
          tookMs: Math.round(clock.monotonic() - startedMs),
        });
      });
  }

  /** Accepts a submission once the store holds it. The same id again is the same submission. */
  submit(submission: Submission): Promise<SubmitOutcome> {
    const { jobs, ended } = this.#context;
    if (jobs.get(submission.id)?.stored || ended.has(submission.id)) {
      return Promise.resolve({ type: "accepted" });
    }
    const underWay = this.#accepting.get(submission.id);
    if (underWay !== undefined) return underWay;
    const outcome = this.#accept(submission);
    this.#accepting.set(submission.id, outcome);
    outcome.then(() => this.#accepting.delete(submission.id));
    return outcome;
  }

  /** State of a job; `undefined` if there is none. */
  state(id: string): JobState | undefined {
    const job = this.#context.jobs.get(id);
    if (job !== undefined) return job.stored ? job.shown : undefined;
    return this.#context.ended.get(id)?.state;
  }

  /** Cancels a job; the store holds that when this resolves. */
  async cancel(id: string): Promise<"canceled" | "absent" | "unknown"> {
    await this.#accepting.get(id);
    const { jobs, ended, log, fence } = this.#context;
    if (ended.has(id)) return "canceled";
    const job = jobs.get(id);
    if (job === undefined || !job.stored) return "absent";
    job.canceled = true;
    reviewJob(this.#context, job);
    const saved = await persist(this.#context, job);
    log.info("job.canceled", { job: id, fence, outcome: saved });
    if (saved !== "saved") return "unknown";
    this.#runs.stopJob(job);
    return "canceled";
  }

  /** Accepted jobs by queue of which no task has started. */
  waiting(): ReadonlyMap<string, number> {
    return waitingByQueue(this.#context.jobs.values());
  }

  /** Starts nothing more and waits until what waits now is written. Submissions are still accepted. */
  async settle(timeoutMs: number): Promise<void> {
    this.#scheduler.pause();
    await Promise.all([
      this.#context.jobLog.drained(timeoutMs),
      this.#learned.handOver(timeoutMs),
    ]);
  }

  /** Starts tasks again: no other instance has taken the cell. */
  resume(): void {
    this.#scheduler.resume();
  }

  /** Ends all work of this holder without a trace at the workers. */
  close(): void {
    this.#closed = true;
    this.#list.close();
    this.#housekeeping.close();
    this.#learned.close();
    this.#scheduler.close();
    this.#follower.close();
    this.#context.jobLog.close();
  }

  async #accept(submission: Submission): Promise<SubmitOutcome> {
    const { jobs, set, log, clock, metrics, fence } = this.#context;
    const policy = queueNamed(set(), submission.queue);
    if (policy === undefined) return { type: "unknown" };
    const startedMs = clock.monotonic();
    const team = teamNamed(set(), submission.team);
    const stuckMs = this.#context.jobLog.stuckMs();
    const timing = this.#timingOf({ spec: submission.spec, policy });
    if (isHopeless(timing, stuckMs)) {
      log.info("job.refused", {
        job: submission.id,
        queue: submission.queue,
        team: submission.team,
        set: set().version,
        fence,
        storeStuckMs: Math.round(stuckMs),
        reason: "storeAway",
      });
      return { type: "refused", reason: "storeAway" };
    }
    const job = newJob({
      ...submission,
      policy,
      acceptedMs: clock.now().getTime(),
      owed: this.#weights.withinWeight(team),
    });
    jobs.set(job.id, job);
    const storing = this.#stored(job, timing);
    // It is placed while it is written, often in the same transaction; orders wait for that.
    reviewJob(this.#context, job);
    const outcome = await storing;
    if (outcome.type === "accepted") job.stored = true;
    else {
      jobs.delete(job.id);
      this.#runs.abandon(job);
    }
    const tookMs = clock.monotonic() - startedMs;
    metrics.observe("accept_ms", tookMs, { queue: job.queue });
    log.info("job.submitted", {
      job: job.id,
      queue: job.queue,
      team: job.team,
      owed: job.owed,
      objectiveMs: Math.round(timing.objectiveMs),
      set: set().version,
      fence,
      tookMs: Math.round(tookMs),
      outcome: outcome.type === "refused" ? outcome.reason : outcome.type,
    });
    return outcome;
  }

  /** Waits for the store; takes the job back if the store is away and no transaction carries it. */
  async #stored(job: Job, timing: Timing): Promise<SubmitOutcome> {
    const { clock, jobLog } = this.#context;
    const endMs = clock.monotonic() + patienceMs(timing);
    const withinMs = firstStartMs(job.policy);
    const saving = persist(this.#context, job, { submission: true, withinMs });
    for (;;) {
      const saved = await Promise.race([
        saving,
        sleep(clock, LOOK_EVERY_MS).then(() => undefined),
      ]);
      if (saved === "saved") return { type: "accepted" };
      if (saved === "deposed") return { type: "unknown" };
      if (clock.monotonic() < endMs || jobLog.stuckMs() === 0) continue;
      if (jobLog.withdraw(job)) return { type: "refused", reason: "storeAway" };
    }
  }

  #timingOf({ spec, policy }: Pick<Job, "spec" | "policy">): Timing {
    return timingOf(spec, policy, this.#context.runTimes);
  }

  #ended(end: EndedJob): void {
    const { jobs, ended, log, metrics, clock, fence } = this.#context;
    const job = jobs.get(end.id);
    // An end that was written again.
    if (job === undefined && ended.has(end.id)) return;
    jobs.delete(end.id);
    ended.set(end.id, end);
    metrics.count("jobs_ended", { state: end.state, queue: end.queue });
    log.info("job.ended", {
      job: end.id,
      queue: end.queue,
      state: end.state,
      fence,
      objectiveMs: job === undefined
        ? undefined
        : Math.round(this.#timingOf(job).objectiveMs),
      ageMs: clock.now().getTime() - (job?.acceptedMs ?? end.endedMs),
    });
  }
}
