/**
 * The leader's side of a cell: accepts submissions, stores them, schedules their
 * tasks on workers and records their results.
 *
 * @module
 */
import { ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { recoverAdvice } from "./advice_recovery.ts";
import type { CellOptions } from "./cell_options.ts";
import {
  type CellContext,
  endTermOnFailure,
  saveJob,
  updateBacklogOfJob,
} from "./context.ts";
import { EarlyCancellations } from "./early_cancellations.ts";
import { Fleet } from "./fleet.ts";
import { WorkerPoller } from "./worker_poller.ts";
import { Housekeeping } from "./housekeeping.ts";
import { type EndedJob, type Job, newJob, pendingJobsByQueue } from "./job.ts";
import { JobLog } from "./job_log.ts";
import { LongWaits } from "./long_waits.ts";
import {
  firstStartWaitMs,
  isRejectedForAdvice,
  isRejectedOnArrival,
  storeWaitMs,
} from "./decisions/admission.ts";
import { PollWait } from "./decisions/poll_wait.ts";
import { type JobTiming, jobTimingOf } from "./decisions/backlog_order.ts";
import { newEstimates, StoredEstimates } from "./stored_estimates.ts";
import { readStoredJobs, restoreJobs, resumeRestoredJobs } from "./recovery.ts";
import { Runs } from "./runs.ts";
import { Scheduler } from "./scheduler.ts";
import { findQueue, findTeam } from "./set_index.ts";
import type { Submission, SubmitOutcome } from "./submission.ts";
import type { JobState } from "./types.ts";
import { TeamShareMeter } from "./decisions/team_share.ts";
import { WorkerList } from "./worker_list.ts";

/** How often a submission that waits for the store is checked for withdrawal. */
const ACCEPT_CHECK_INTERVAL_MS = 40;
/** A leader whose term has not been confirmed for this long stops sending requests to workers. */
export const MAX_ISOLATED_LEADER_MS = 2_000;

/** A cell that this process leads, for one term. */
export class Cell {
  readonly #options: CellOptions;
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #workerPoller: WorkerPoller;
  readonly #scheduler: Scheduler;
  readonly #submissionsInProgress = new Map<string, Promise<SubmitOutcome>>();
  readonly #earlyCancellations: EarlyCancellations;
  readonly #weightMeter: TeamShareMeter;
  readonly #workerList: WorkerList;
  readonly #housekeeping: Housekeeping;
  readonly #learnedState: StoredEstimates;
  #closed = false;

  constructor(options: CellOptions) {
    this.#options = options;
    const ended = new Map<string, EndedJob>();
    const jobs = new Map<string, Job>();
    this.#weightMeter = new TeamShareMeter(options.clock);
    // A request of this term that is answered late must not end the next one.
    const stepDown = (reason: string) => {
      if (!this.#closed) options.stepDown(reason);
    };
    const jobLog = new JobLog({
      cell: options.name,
      fence: options.fence,
      revision: options.revision,
      store: options.store,
      clock: options.clock,
      log: options.log,
      metrics: options.metrics,
      stepDown,
      onLeadershipConfirmed: options.onLeadershipConfirmed,
      onJobEnded: (end) => this.#recordEnd(end),
    });
    this.#context = {
      fence: options.fence,
      clock: options.clock,
      log: options.log,
      metrics: options.metrics,
      workerClient: options.workerClient,
      jobLog,
      fleet: options.fleet ?? new Fleet(),
      ...newEstimates(),
      ...(options.runTimes === undefined ? {} : { runTimes: options.runTimes }),
      lostAnswers: new PollWait(),
      jobs,
      ended,
      backlog: new Set(),
      set: options.set,
      evacuations: options.evacuations,
      maxLeaseMs: options.maxLeaseMs,
      isLeading: () => !this.#closed && options.isLeading(),
      stepDown,
      requestPass: () => this.#scheduler.requestPass(),
    };
    this.#earlyCancellations = new EarlyCancellations(this.#context);
    this.#runs = new Runs(
      this.#context,
      (worker) => this.#workerPoller.pollNow(worker),
    );
    this.#workerPoller = new WorkerPoller(this.#context, this.#runs);
    this.#scheduler = new Scheduler(this.#context, {
      runs: this.#runs,
      desk: options.adviceDispatcher,
    });
    this.#workerList = new WorkerList(
      this.#context,
      options.directory,
      (id) =>
        this.#workerPoller.startPolling(this.#context.fleet.getOrCreate(id)),
    );
    this.#learnedState = new StoredEstimates(this.#context, options);
    this.#housekeeping = new Housekeeping(this.#context, {
      runs: this.#runs,
      retentionMs: options.retentionMs,
      adviceInFlight: () => options.adviceDispatcher.inFlight,
      passMs: () => this.#scheduler.takePassMs(),
      longWaits: new LongWaits(this.#context, {
        dispatcher: options.adviceDispatcher,
        passAgeMs: () => this.#scheduler.passAgeMs(),
      }),
    });
  }

  /**
   * Restores the jobs of earlier terms from the store, then starts scheduling.
   * After an unexpected failure the term has ended.
   */
  recover(): ResultAsync<void, StoreFailure> {
    const recovery = endTermOnFailure(
      this.#context,
      "recovery",
      () => this.#recover(),
    );
    return new ResultAsync(
      recovery.then((result): Result<void, StoreFailure> =>
        result ?? ok(undefined)
      ),
    );
  }

  #recover(): ResultAsync<void, StoreFailure> {
    const { store, log, clock } = this.#options;
    const startedMs = clock.monotonic();
    return ResultAsync.combine([
      readStoredJobs(store, log),
      this.#workerList.read(),
      this.#learnedState.restore(),
    ])
      .map(([storedJobs, workers]) => {
        restoreJobs(this.#context, storedJobs, {
          maxIsolatedLeaderMs: MAX_ISOLATED_LEADER_MS,
        });
        this.#workerList.apply(workers);
        resumeRestoredJobs(this.#context, this.#runs);
        this.#run(
          "advice recovery",
          () => recoverAdvice(this.#context, this.#options.recoverAdvice),
        );
        this.#run("worker list", () => this.#workerList.run());
        this.#run("stored estimates", () => this.#learnedState.run());
        this.#run("housekeeping", () => this.#housekeeping.run());
        this.#scheduler.requestPass();
        log.info("cell.recovered", {
          fence: this.#options.fence,
          jobs: this.#context.jobs.size,
          ended: this.#context.ended.size,
          workers: workers.length,
          tookMs: Math.round(clock.monotonic() - startedMs),
        });
      });
  }

  /** Accepts a submission; resolves once it is stored. Idempotent: a repeated id refers to the same submission. */
  submit(submission: Submission): Promise<SubmitOutcome> {
    const { jobs, ended } = this.#context;
    const end = ended.get(submission.id);
    if (end?.neverArrived === true) return this.#refuseCanceled(submission);
    if (jobs.get(submission.id)?.stored || end !== undefined) {
      return Promise.resolve({ type: "accepted" });
    }
    const inProgress = this.#submissionsInProgress.get(submission.id);
    if (inProgress !== undefined) return inProgress;
    const outcome = endTermOnFailure(
      this.#context,
      "submission",
      () => this.#accept(submission),
    ).then((outcome): SubmitOutcome => outcome ?? { type: "unknown" });
    this.#submissionsInProgress.set(submission.id, outcome);
    outcome.then(() => this.#submissionsInProgress.delete(submission.id));
    return outcome;
  }

  /**
   * The state of a job as the store holds it. `absent`: there is no such job.
   * `unknown`: the job may have been accepted by a later leader.
   */
  state(id: string): JobState | "absent" | "unknown" {
    const { jobs, ended, isLeading } = this.#context;
    const job = jobs.get(id);
    if (job?.stored) return job.visibleState;
    const end = ended.get(id);
    if (end !== undefined && end.neverArrived !== true) return end.state;
    return isLeading() ? "absent" : "unknown";
  }

  /**
   * Cancels a job; resolves once the cancellation is stored. `absent`: there is
   * no such job, and none will be accepted if its submission arrives late.
   * `unknown`: the term ended before the store confirmed the write.
   */
  async cancel(id: string): Promise<"canceled" | "absent" | "unknown"> {
    while (this.#submissionsInProgress.has(id)) {
      await this.#submissionsInProgress.get(id);
    }
    const { jobs, ended, log, fence } = this.#context;
    const end = ended.get(id);
    if (end !== undefined && end.neverArrived !== true) return "canceled";
    const job = jobs.get(id);
    if (job === undefined) return await this.#earlyCancellations.record(id);
    job.canceled = true;
    updateBacklogOfJob(this.#context, job);
    const saved = await saveJob(this.#context, job);
    log.info("job.canceled", { job: id, fence, outcome: saved });
    if (saved !== "saved") return "unknown";
    this.#runs.stopJob(job);
    return "canceled";
  }

  /** Number of accepted jobs of which no task has started, by queue. */
  pendingByQueue(): ReadonlyMap<string, number> {
    return pendingJobsByQueue(this.#context.jobs.values());
  }

  /**
   * Prepares a transfer of leadership: pauses scheduling and waits until all
   * pending changes are stored, at most `timeoutMs`. Submissions are still accepted.
   */
  async quiesce(timeoutMs: number): Promise<void> {
    this.#scheduler.pause();
    await Promise.all([
      this.#context.jobLog.waitForWrites(timeoutMs),
      this.#learnedState.writeBeforeTransfer(timeoutMs),
    ]);
  }

  /** Resumes scheduling after a transfer of leadership has failed. */
  resume(): void {
    this.#scheduler.resume();
  }

  /** Stops this cell. The workers get no further requests, and their runs continue under the next leader. */
  close(): void {
    this.#closed = true;
    this.#workerList.close();
    this.#housekeeping.close();
    this.#learnedState.close();
    this.#scheduler.close();
    this.#workerPoller.close();
    this.#context.jobLog.close();
  }

  #run(part: string, work: () => Promise<void>): void {
    void endTermOnFailure(this.#context, part, work);
  }

  #refuseCanceled({ id, queue, team }: Submission): Promise<SubmitOutcome> {
    const { log, fence } = this.#context;
    const reason = "canceled";
    log.info("job.refused", { job: id, queue, team, fence, reason });
    return Promise.resolve({ type: "refused", reason });
  }

  async #accept(submission: Submission): Promise<SubmitOutcome> {
    const { jobs, set, log, clock, metrics, fence } = this.#context;
    const active = set();
    if (active === undefined) return { type: "unknown" };
    const policy = findQueue(active, submission.queue);
    if (policy === undefined) return { type: "unknown" };
    const startedMs = clock.monotonic();
    const team = findTeam(active, submission.team);
    const stuckMs = this.#context.jobLog.stuckMs();
    const timing = this.#timingOf({ spec: submission.spec, policy });
    if (isRejectedOnArrival(timing, stuckMs)) {
      log.info("job.refused", {
        job: submission.id,
        queue: submission.queue,
        team: submission.team,
        set: active.version,
        fence,
        storeStuckMs: Math.round(stuckMs),
        reason: "storeAway",
      });
      return { type: "refused", reason: "storeAway" };
    }
    const adviceWaitMs = this.#scheduler.adviceWaitMs(policy);
    if (isRejectedForAdvice(adviceWaitMs, this.#options.settleMs)) {
      log.info("job.refused", {
        job: submission.id,
        queue: submission.queue,
        team: submission.team,
        set: active.version,
        fence,
        adviceWaitMs: Math.round(adviceWaitMs),
        reason: "overload",
      });
      return { type: "refused", reason: "overload" };
    }
    const job = newJob({
      ...submission,
      policy,
      acceptedMs: clock.now().getTime(),
      owed: this.#weightMeter.tryConsume(team),
    });
    jobs.set(job.id, job);
    this.#scheduler.addSubmission(policy);
    const stored = this.#waitUntilStored(job, timing);
    // The job is scheduled while it is being written, so that one transaction can
    // store the submission and its first placements. Start requests wait for it.
    updateBacklogOfJob(this.#context, job);
    const outcome = await stored;
    if (outcome.type === "accepted") job.stored = true;
    else {
      jobs.delete(job.id);
      this.#runs.discardJob(job);
    }
    const elapsedMs = clock.monotonic() - startedMs;
    metrics.observe("accept_ms", elapsedMs, { queue: job.queue });
    log.info("job.submitted", {
      job: job.id,
      queue: job.queue,
      team: job.team,
      owed: job.owed,
      objectiveMs: Math.round(timing.objectiveMs),
      set: active.version,
      fence,
      tookMs: Math.round(elapsedMs),
      outcome: outcome.type === "refused" ? outcome.reason : outcome.type,
    });
    return outcome;
  }

  /** Waits until the job is stored. Withdraws it if the store is unavailable and no transaction may have stored it. */
  async #waitUntilStored(job: Job, timing: JobTiming): Promise<SubmitOutcome> {
    const { clock, jobLog } = this.#context;
    const deadlineMs = clock.monotonic() + storeWaitMs(timing);
    const withinMs = firstStartWaitMs(job.policy);
    const saving = saveJob(this.#context, job, { submission: true, withinMs });
    for (;;) {
      const saved = await Promise.race([
        saving,
        sleep(clock, ACCEPT_CHECK_INTERVAL_MS).then(() => undefined),
      ]);
      if (saved === "saved") return { type: "accepted" };
      if (saved === "deposed") return { type: "unknown" };
      if (clock.monotonic() < deadlineMs || jobLog.stuckMs() === 0) continue;
      if (jobLog.withdraw(job)) return { type: "refused", reason: "storeAway" };
    }
  }

  #timingOf({ spec, policy }: Pick<Job, "spec" | "policy">): JobTiming {
    return jobTimingOf(spec, policy, this.#context.runTimes);
  }

  #recordEnd(end: EndedJob): void {
    const { jobs, ended, log, metrics, clock, fence } = this.#context;
    const job = jobs.get(end.id);
    // The end of this job has been recorded before.
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
