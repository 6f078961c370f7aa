/**
 * Goes over the steps that may start, the first in line first, and places
 * what fits; asks for advice where it is missing.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDesk } from "./advice_desk.ts";
import { type CellContext, queueOf, teamOf } from "./context.ts";
import { type FleetWorker, roomOn, tasksIn, weighsOn } from "./fleet.ts";
import { dueMs, stepKey, type StepRun } from "./job.ts";
import { compareRanks, type Rank, rankOf } from "./order.ts";
import { capacityFor, findPlaces, type SearchContext } from "./placement.ts";
import { adviceMayHelp, cheaply, MAX_ASKED } from "./questions.ts";
import type { Runs } from "./runs.ts";
import { type Amounts, NO_AMOUNTS, plus, type Queue } from "./types.ts";

/** Changes gather for so long before a pass, milliseconds. */
const PASS_DELAY_MS = 10;
/** The same when a lane to the advice service has come free, milliseconds. */
const LANE_DELAY_MS = 2;
/** A question that failed is asked again after this, milliseconds. */
const ASK_AGAIN_MS = 200;
/** Share of workers that may run a step, before any advice. */
const FIRST_GOOD_SHARE = 0.4;
/** Weight of new advice in the share of workers that may run a queue's steps. */
const GOOD_WEIGHT = 0.1;
/** Workers asked about beyond the number that should do. */
const ASK_SPARE = 2;
/** Nothing is started while the store has not answered for so long, milliseconds: starts are recorded first. */
const STORE_STUCK_MS = 250;
/** Factor by which more workers are asked about than should do. */
const ASK_FACTOR = 1.6;
/** Questions above this cost hold the room that they ask about, milliseconds. */
const HOLD_ABOVE_MS = 200;

/** Schedules the work of one holder. */
export class Scheduler {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #desk: AdviceDesk;
  readonly #goodShares = new Map<string, number>();
  /** Room held while a question about it is under way. */
  readonly #holds = new Map<StepRun, ReadonlyMap<string, Amounts>>();
  #timer: Timer | undefined;
  #closed = false;
  #passMs = 0;

  constructor(
    context: CellContext,
    { runs, desk }: { readonly runs: Runs; readonly desk: AdviceDesk },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#desk = desk;
  }

  /** Asks for a pass soon. */
  kick(delayMs = PASS_DELAY_MS): void {
    if (this.#closed) return;
    this.#timer ??= this.#context.clock.after(delayMs, () => {
      this.#timer = undefined;
      this.#pass();
    });
  }

  /** Tells and forgets the time that passes took, milliseconds. */
  takePassMs(): number {
    const tookMs = this.#passMs;
    this.#passMs = 0;
    return tookMs;
  }

  /** No pass any more. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
  }

  #pass(): void {
    const { holds, jobLog } = this.#context;
    if (!holds() || jobLog.stuckMs() > STORE_STUCK_MS) return;
    const startedMs = this.#context.clock.monotonic();
    for (const { step } of this.#line()) this.#place(step);
    const tookMs = this.#context.clock.monotonic() - startedMs;
    this.#passMs += tookMs;
    this.#context.metrics.observe("pass_ms", tookMs);
  }

  #line(): readonly { readonly step: StepRun; readonly rank: Rank }[] {
    const { clock, durations, open } = this.#context;
    const nowMs = clock.now().getTime();
    return [...open]
      .map((step) => {
        const queue = queueOf(this.#context, step.job);
        const due = dueMs(step.job, step.occurrence);
        return {
          step,
          rank: rankOf(step, queue, { durations, nowMs, dueMs: due }),
        };
      })
      .sort((a, b) => compareRanks(a.rank, b.rank));
  }

  #place(step: StepRun): void {
    if (!this.#context.open.has(step)) return;
    if (this.#mustWaitForAdvice(step)) return;
    const context = this.#searchContext(step);
    const search = findPlaces(step, context);
    if (search.places.length > 0) {
      this.#holds.delete(step);
      this.#runs.start(step, search.places);
      if (!this.#context.open.has(step)) return;
    } else {
      const reason = search.reason ?? "none";
      this.#context.metrics.count("passes_without_place", { reason });
    }
    if (adviceMayHelp(search.reason)) {
      this.#ask(step, search.unadvised, context);
    }
  }

  /** Whether a step has no ticket and cannot ask for one now. */
  #mustWaitForAdvice(step: StepRun): boolean {
    const advice = queueOf(this.#context, step.job).advice;
    if (advice === undefined || step.advice.tickets.size > 0) return false;
    return step.advice.asking || !this.#desk.isFree(advice.baseMs);
  }

  #searchContext(step: StepRun): SearchContext {
    return {
      fleet: this.#context.fleet,
      queue: queueOf(this.#context, step.job),
      team: teamOf(this.#context, step.job),
      nowMs: this.#context.clock.monotonic(),
      held: this.#heldBeside(step),
    };
  }

  /** Room that is held for other steps. Steps of the first priority need not heed it. */
  #heldBeside(step: StepRun): ReadonlyMap<string, Amounts> {
    const held = new Map<string, Amounts>();
    if (queueOf(this.#context, step.job).priority === 0) return held;
    for (const [holder, rooms] of this.#holds) {
      if (holder === step) continue;
      for (const [worker, amounts] of rooms) {
        held.set(worker, plus(held.get(worker) ?? NO_AMOUNTS, amounts));
      }
    }
    return held;
  }

  #ask(
    step: StepRun,
    unadvised: readonly FleetWorker[],
    context: SearchContext,
  ): void {
    const { queue, nowMs } = context;
    const { advice } = step;
    if (queue.advice === undefined || advice.asking) return;
    if (nowMs < advice.retryAtMs) return;
    if (!this.#desk.isFree(queue.advice.baseMs)) return;
    const asked = this.#chooseAsked(step, { unadvised, context });
    if (asked.length === 0) return;
    advice.asking = true;
    const expectedMs = queue.advice.baseMs +
      asked.length * queue.advice.perWorkerMs;
    if (expectedMs > HOLD_ABOVE_MS) this.#hold(step, asked);
    const { job, index } = step;
    const question = {
      step: stepKey(step),
      workers: asked.map((worker) => worker.id),
      expectedMs,
    };
    this.#desk.ask(question).then((answer) => {
      advice.asking = false;
      const now = this.#context.clock.monotonic();
      this.#context.log.info("advice.answered", {
        job: job.id,
        step: index,
        queue: job.queue,
        asked: asked.length,
        good: answer.type === "advised" ? answer.tickets.size : 0,
        tookMs: Math.round(now - nowMs),
        expectedMs: Math.round(expectedMs),
        outcome: answer.type,
        reason: answer.type === "failed" ? answer.message : undefined,
      });
      if (answer.type === "advised") {
        this.#learn(step, { queue, asked, tickets: answer.tickets });
      } else {
        advice.retryAtMs = now + ASK_AGAIN_MS;
      }
      this.#place(step);
      this.#holds.delete(step);
      this.kick(LANE_DELAY_MS);
    });
  }

  /** Workers known to be good go first; of the others as many as should give enough good ones. */
  #chooseAsked(
    step: StepRun,
    { unadvised, context }: {
      readonly unadvised: readonly FleetWorker[];
      readonly context: SearchContext;
    },
  ): readonly FleetWorker[] {
    const { verdicts } = step.advice;
    const waiting =
      step.tasks.filter((task) => task.phase === "waiting").length;
    const good = unadvised.filter((worker) => verdicts.get(worker.id) === true);
    const goodRoom = capacityFor(step, good, context);
    if (goodRoom >= waiting) return good.slice(0, MAX_ASKED);
    const unknown = unadvised.filter((worker) => !verdicts.has(worker.id));
    const share = this.#goodShares.get(context.queue.name) ?? FIRST_GOOD_SHARE;
    const unknownRoom = capacityFor(step, unknown, context);
    if (step.spec.gang && goodRoom + unknownRoom * share < waiting) {
      // The room would not do; the verdicts still help if none is known yet.
      if (verdicts.size > 0 || goodRoom + unknownRoom < waiting) return [];
    }
    const perWorker = Math.max(1, unknownRoom / Math.max(1, unknown.length));
    const missing = (waiting - goodRoom) / perWorker / share;
    const number = Math.max(
      Math.ceil(ASK_FACTOR * missing) + ASK_SPARE,
      cheaply(context.queue),
    );
    // The emptiest are the likeliest to have room still when the answer comes.
    const asked = [...unknown].reverse().slice(0, number);
    return [...good, ...asked].slice(0, MAX_ASKED);
  }

  #hold(step: StepRun, asked: readonly FleetWorker[]): void {
    const { verdicts } = step.advice;
    const amounts = weighsOn(step);
    const held = new Map<string, Amounts>();
    let left = step.tasks.filter((task) => task.phase === "waiting").length;
    for (const worker of asked) {
      if (verdicts.get(worker.id) !== true) continue;
      const most = Math.min(left, tasksIn(roomOn(worker), amounts));
      left -= most;
      held.set(worker.id, plus(NO_AMOUNTS, amounts, most));
    }
    this.#holds.set(step, held);
  }

  #learn(
    step: StepRun,
    { queue, asked, tickets }: {
      readonly queue: Queue;
      readonly asked: readonly FleetWorker[];
      readonly tickets: ReadonlyMap<string, string>;
    },
  ): void {
    const atMs = this.#context.clock.monotonic();
    let fresh = 0;
    let good = 0;
    for (const worker of asked) {
      const ticket = tickets.get(worker.id);
      if (!step.advice.verdicts.has(worker.id)) {
        fresh++;
        if (ticket !== undefined) good++;
      }
      step.advice.verdicts.set(worker.id, ticket !== undefined);
      if (ticket !== undefined) {
        step.advice.tickets.set(worker.id, { ticket, atMs });
      }
    }
    if (fresh === 0) return;
    const share = this.#goodShares.get(queue.name) ?? FIRST_GOOD_SHARE;
    const next = share + GOOD_WEIGHT * (good / fresh - share);
    this.#goodShares.set(queue.name, Math.max(0.05, next));
  }
}
