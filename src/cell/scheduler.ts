/**
 * Runs scheduling passes: goes through the backlog in order, places every step
 * that fits, and requests advice for the steps that lack it.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDispatcher } from "./advice_dispatcher.ts";
import {
  AdviceRequester,
  type AdviceSearchContext,
} from "./advice_requester.ts";
import {
  type CellContext,
  endTermOnFailure,
  queueOf,
  teamOf,
} from "./context.ts";
import { isUnlimited, LimitHeadroom } from "./decisions/limit_headroom.ts";
import {
  compareRanks,
  type Rank,
  rankOf,
  timeBudgetFor,
} from "./decisions/backlog_order.ts";
import { blockingLimit, findPlacements } from "./decisions/placement.ts";
import { adviceMayHelp } from "./decisions/advice_requests.ts";
import {
  couldHold,
  orderForReservation,
  reservableFor,
  Reservations,
} from "./decisions/reservations.ts";
import {
  CapacityIndex,
  NOTHING_RESERVED,
  type ReservedCapacity,
  ReservedTotals,
} from "./decisions/capacity.ts";
import { teamAllowance } from "./fleet.ts";
import { dueMs, type StepRun } from "./job.ts";
import type { Runs } from "./runs.ts";
import { type Amounts, NO_AMOUNTS, plus, type Queue } from "./types.ts";

/**
 * Delay between a request for a pass and the pass, so that several changes
 * share one.
 */
const PASS_DELAY_MS = 10;
/**
 * The same delay after an advice response, when a channel to the advice service
 * is free again.
 */
const CHANNEL_DELAY_MS = 2;
/**
 * Pause after a pass, as a multiple of its duration: passes of up to a quarter
 * of a second use at most a fifth of the processor.
 */
const PASS_REST_FACTOR = 4;
/**
 * Longest pause after a pass: its duration includes the time for which the
 * process was suspended or had no processor. A third of the time for which work
 * may have nothing running beside free workers; source: the platform's pages.
 */
const MAX_PASS_REST_MS = 1_000;
/**
 * Steps at their team's limit that have tickets ahead of time. Each pass may
 * search workers for all of them.
 */
const MAX_STEPS_AHEAD = 16;
/**
 * Nothing is started while a store write has been unanswered for longer than
 * this, since every start is recorded first.
 */
const MAX_STORE_SILENCE_MS = 250;
/**
 * Shorter waits are not logged. This is a tenth of the time that an urgent
 * submission may take.
 */
const MIN_LOGGED_WAIT_MS = 100;
/**
 * Gangs with a higher lateness reserve no capacity; source: {@linkcode Rank}.
 */
const MAX_RESERVING_LATENESS = 1;

/** A step of the backlog and its rank, which decides the order. */
interface BacklogEntry {
  readonly step: StepRun;
  readonly rank: Rank;
}

/** Capacity that is open to one step at one moment. */
interface AvailableCapacity {
  readonly index: CapacityIndex;
  /** Capacity that is reserved for other steps. */
  readonly reserved: ReservedCapacity;
}

/** Schedules the jobs of one leader. */
export class Scheduler {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #requester: AdviceRequester;
  readonly #reservations = new Reservations();
  readonly #limitHeadroom = new LimitHeadroom();
  /**
   * Teams whose urgent steps were waiting at the team limit when the last pass
   * began.
   */
  #teamsWithUrgentWaits: ReadonlySet<string> = new Set();
  /** Positions of the steps in the backlog of the last pass. */
  #backlogPositions = new Map<StepRun, number>();
  /** Steps that their team's limit has kept from starting in this pass. */
  readonly #limited = new Map<StepRun, AdviceSearchContext>();
  #timer: Timer | undefined;
  #closed = false;
  #paused = false;
  #passMs = 0;
  #lastPassMs = 0;
  #lastPassEndedMs: number;

  constructor(
    context: CellContext,
    { runs, desk }: { readonly runs: Runs; readonly desk: AdviceDispatcher },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#lastPassEndedMs = context.clock.monotonic();
    this.#requester = new AdviceRequester(context, desk, (step) => {
      if (this.#knowsOperatorState()) {
        this.#tryPlace(step, this.#capacityOutsidePass(step));
      }
      this.requestPass(CHANNEL_DELAY_MS);
    });
  }

  /**
   * Requests a scheduling pass after `delayMs` milliseconds, or later if the
   * last pass was long. A pass that is already scheduled is not moved.
   */
  requestPass(delayMs = PASS_DELAY_MS): void {
    if (this.#closed) return;
    const effectiveDelayMs = Math.max(
      delayMs,
      Math.min(PASS_REST_FACTOR * this.#lastPassMs, MAX_PASS_REST_MS),
    );
    this.#timer ??= this.#context.clock.after(effectiveDelayMs, () => {
      this.#timer = undefined;
      void endTermOnFailure(
        this.#context,
        "scheduling pass",
        () => this.#runPass(),
      );
    });
  }

  /**
   * Returns the total duration of the passes since the last call, milliseconds.
   */
  takePassMs(): number {
    const elapsedMs = this.#passMs;
    this.#passMs = 0;
    return elapsedMs;
  }

  /**
   * Time since the end of the last pass that could start steps, milliseconds;
   * since the beginning of the term if there was none.
   */
  passAgeMs(): number {
    return this.#context.clock.monotonic() - this.#lastPassEndedMs;
  }

  /**
   * How long the first step of a new job would wait for a channel to the advice
   * service, milliseconds.
   */
  adviceWaitMs(queue: Queue): number {
    return this.#context.backlog.size === 0 ? 0 : this.#requester.waitMs(queue);
  }

  /** Counts a new job whose first step may wait for advice. */
  addSubmission(queue: Queue): void {
    this.#requester.addSubmission(queue);
  }

  /** Starts nothing until {@linkcode resume} is called. */
  pause(): void {
    this.#paused = true;
  }

  /** Continues to start steps of the backlog after {@linkcode pause}. */
  resume(): void {
    this.#paused = false;
    this.requestPass();
  }

  /** Stops scheduling for good. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
  }

  /** Whether the limits of teams and the evacuated zones are known. Nothing is placed before. */
  #knowsOperatorState(): boolean {
    const { set, evacuations } = this.#context;
    return set() !== undefined && !evacuations.isStale;
  }

  #runPass(): void {
    const { isLeading, jobLog } = this.#context;
    if (!isLeading() || jobLog.stuckMs() > MAX_STORE_SILENCE_MS) return;
    if (!this.#knowsOperatorState()) return;
    const startedMs = this.#context.clock.monotonic();
    this.#schedule(this.#sortedBacklog());
    this.#requester.endPass();
    const endedMs = this.#context.clock.monotonic();
    if (!this.#paused) this.#lastPassEndedMs = endedMs;
    const elapsedMs = endedMs - startedMs;
    this.#passMs += elapsedMs;
    this.#lastPassMs = elapsedMs;
    this.#context.metrics.observe("pass_ms", elapsedMs);
  }

  #schedule(sorted: readonly BacklogEntry[]): void {
    const { backlog } = this.#context;
    this.#teamsWithUrgentWaits = new Set(
      sorted.filter(({ rank, step }) =>
        rank.priority === 0 && step.waits.reason === "teamLimit"
      ).map(({ step }) => step.job.team),
    );
    const index = this.#capacityIndex();
    this.#backlogPositions = new Map(
      sorted.map(({ step }, position) => [step, position]),
    );
    this.#reservations.beginPass(index.totals());
    const reservations = new ReservedTotals();
    const available = { index, reserved: reservations };
    this.#limited.clear();
    for (const [position, { step, rank }] of sorted.entries()) {
      this.#tryPlace(step, available);
      if (!step.spec.gang || !backlog.has(step)) continue;
      if (rank.lateness > MAX_RESERVING_LATENESS) continue;
      const reserved = this.#reserveForGang(step, position, available);
      if (reserved) reservations.add(this.#reservations.of(step));
    }
    for (
      const [step, context] of [...this.#limited].slice(0, MAX_STEPS_AHEAD)
    ) {
      this.#requester.requestAhead(step, context);
    }
    this.#limited.clear();
  }

  #sortedBacklog(): readonly BacklogEntry[] {
    const { clock, runTimes, backlog } = this.#context;
    const nowMs = clock.now().getTime();
    return [...backlog]
      .map((step) => {
        const queue = queueOf(this.#context, step.job);
        const due = dueMs(step.job, step.occurrence);
        return {
          step,
          rank: rankOf(step, queue, { runTimes, nowMs, dueMs: due }),
        };
      })
      .sort((a, b) => compareRanks(a.rank, b.rank));
  }

  #capacityIndex(): CapacityIndex {
    const { fleet, clock } = this.#context;
    return new CapacityIndex(fleet, clock.monotonic());
  }

  /**
   * Starts as many tasks of a step as fit, and requests advice if that could
   * make more of them fit.
   */
  #tryPlace(step: StepRun, available: AvailableCapacity): void {
    if (this.#paused || !this.#context.backlog.has(step)) return;
    const nowMs = this.#context.clock.monotonic();
    const queue = queueOf(this.#context, step.job);
    const isLimited = step.waits.reason === "teamLimit" ||
      step.waits.reason === "limitHeadroom";
    if (!isLimited && this.#requester.mustWait(step, queue)) {
      return step.waits.note("advice", nowMs);
    }
    const context = this.#searchContext(step, available);
    const limit = blockingLimit(step, context);
    if (limit !== undefined) {
      // Requests of steps that could start go first.
      this.#limited.set(step, context);
      return step.waits.note(limit, nowMs);
    }
    if (this.#requester.mustWait(step, queue, context)) {
      return step.waits.note("advice", nowMs);
    }
    const search = findPlacements(step, context);
    if (search.placements.length > 0) {
      this.#logWait(step, search.placements.length);
      this.#runs.start(step, search.placements);
      this.#recordUrgentUse(step.job.team, context.queue);
      if (!this.#context.backlog.has(step)) return;
    }
    step.waits.note(search.reason ?? "noRoom", nowMs);
    if (adviceMayHelp(search.reason)) {
      this.#requester.request(step, context);
    }
  }

  /** Counts how long a step has waited for each reason, and logs long waits. */
  #logWait(step: StepRun, placed: number): void {
    const { clock, log, metrics, fence } = this.#context;
    const sums = step.waits.end(clock.monotonic());
    const waitedMs = [...sums.values()].reduce((all, sum) => all + sum, 0);
    for (const [reason, sum] of sums) {
      metrics.count("step_wait_ms", { reason }, sum);
    }
    if (waitedMs < MIN_LOGGED_WAIT_MS) return;
    log.info("step.waited", {
      job: step.job.id,
      step: step.index,
      tasks: placed,
      fence,
      waitedMs,
      ...Object.fromEntries(
        [...sums].map(([reason, sum]) => [`${reason}Ms`, sum]),
      ),
    });
  }

  /**
   * Builds the input of the placement search. Steps of the first priority
   * (short and urgent) and long-running tasks (which must always run) ignore
   * reservations and the limit headroom.
   */
  #searchContext(
    step: StepRun,
    { index, reserved }: AvailableCapacity,
  ): AdviceSearchContext {
    const { clock, runTimes } = this.#context;
    const queue = queueOf(this.#context, step.job);
    const urgent = queue.priority === 0 || step.spec.longRunning;
    const nowMs = clock.monotonic();
    return {
      fleet: this.#context.fleet,
      index,
      queue,
      team: teamOf(this.#context, step.job),
      nowMs,
      reserved: urgent ? NOTHING_RESERVED : reserved,
      mayReserve: this.#reservations.mayReserve(queue.service),
      limitHeadroom: urgent ? NO_AMOUNTS : this.#limitHeadroomFor(step, nowMs),
      runTimes,
      timeBudget: () =>
        timeBudgetFor(step, queue, {
          runTimes,
          nowMs: clock.now().getTime(),
          dueMs: dueMs(step.job, step.occurrence),
        }),
    };
  }

  #recordUrgentUse(team: string, { priority }: Queue): void {
    if (priority > 0) return;
    const { fleet, clock } = this.#context;
    this.#limitHeadroom.record(
      team,
      fleet.urgentUsedBy(team),
      clock.monotonic(),
    );
  }

  /**
   * Amounts below its team's limit that a deferrable step must leave free for
   * urgent steps.
   */
  #limitHeadroomFor(step: StepRun, nowMs: number): Amounts {
    const { fleet } = this.#context;
    const { job: { team }, spec, remainingTasks } = step;
    if (this.#limitHeadroom.peak(team, nowMs) === NO_AMOUNTS) return NO_AMOUNTS;
    const limited = teamOf(this.#context, step.job);
    if (limited === undefined || isUnlimited(limited)) return NO_AMOUNTS;
    return this.#limitHeadroom.reservedFor({
      team: limited,
      used: fleet.usedBy(team),
      urgentUsed: fleet.urgentUsedBy(team),
      minStart: plus(NO_AMOUNTS, spec.amounts, spec.gang ? remainingTasks : 1),
      urgentIsWaiting: this.#teamsWithUrgentWaits.has(team),
      waitedMs: step.waits.waitedMs("limitHeadroom", nowMs),
    }, nowMs);
  }

  /** Capacity that is open to a step between two passes. */
  #capacityOutsidePass(step: StepRun): AvailableCapacity {
    const reservations = new ReservedTotals();
    const position = this.#backlogPositions.get(step) ?? Infinity;
    for (const reserved of this.#reservations.before(position, step)) {
      reservations.add(reserved);
    }
    return { index: this.#capacityIndex(), reserved: reservations };
  }

  /**
   * Reserves capacity for a gang on workers known to be suitable. Returns
   * `false` if there is not enough.
   */
  #reserveForGang(
    step: StepRun,
    index: number,
    available: AvailableCapacity,
  ): boolean {
    const nowMs = this.#context.clock.monotonic();
    const { service } = queueOf(this.#context, step.job);
    if (!this.#reservations.mayReserve(service)) return false;
    if (this.#reservations.renew(step, index, { service, nowMs })) return true;
    const context = this.#searchContext(step, available);
    const { spec, job } = step;
    const used = this.#context.fleet.usedBy(job.team);
    const unavailable = plus(used, context.limitHeadroom ?? NO_AMOUNTS);
    const allowance = teamAllowance(context.team, unavailable, spec.amounts);
    if (allowance < step.remainingTasks) return false;
    // Gangs that can't fit must not keep later ones from reserving.
    if (!couldHold(step, context)) return false;
    const fullest = [...reservableFor(step, context)].sort((a, b) =>
      b.used.cpuMillis - a.used.cpuMillis
    );
    const workers = orderForReservation(step, fullest, context);
    return this.#reservations.reserve(step, workers, {
      position: index,
      service,
      reserved: context.reserved,
      nowMs,
    });
  }
}
