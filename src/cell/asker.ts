/**
 * Asks the advice service about steps and keeps what it says.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDesk } from "./advice_desk.ts";
import { type CellContext, queueOf } from "./context.ts";
import { type ChoiceContext, planQuestions } from "./decisions/questions.ts";
import type { FleetWorker } from "./fleet.ts";
import { noteTicket, stepKey, type StepRun } from "./job.ts";
import type { Advice, AdvicePolicy, Queue } from "./types.ts";

/** A question that failed is asked again after this, milliseconds. */
const ASK_AGAIN_MS = 200;
/** A gang that no question helps now is looked at again after this, milliseconds: what a task takes to end. */
const GANG_AGAIN_MS = 50;
/** The same for other steps, milliseconds. */
const STEP_AGAIN_MS = 20;
/** A step waits so much longer than expected for an answer before it asks others, milliseconds. */
const OVERDUE_MS = 250;
/** Share of workers that may run a step, before any advice. */
const FIRST_GOOD_SHARE = 0.4;
/** Weight of new advice in the share of workers that may run a queue's steps. */
const GOOD_WEIGHT = 0.1;
/** Least share that is reckoned with. */
const LEAST_GOOD_SHARE = 0.05;

/** One question about a step. */
interface Asked {
  readonly queue: Queue;
  readonly workers: readonly FleetWorker[];
  readonly expectedMs: number;
}

/** The questions of one holder. */
export class Asker {
  readonly #context: CellContext;
  readonly #desk: AdviceDesk;
  readonly #answered: (step: StepRun) => void;
  readonly #goodShares = new Map<string, number>();
  #lookTimer: Timer | undefined;

  /** `answered` is told of each answer. */
  constructor(
    context: CellContext,
    desk: AdviceDesk,
    answered: (step: StepRun) => void,
  ) {
    this.#context = context;
    this.#desk = desk;
    this.#answered = answered;
  }

  /** Whether a step has no ticket and cannot ask for one now. */
  mustWait(step: StepRun): boolean {
    const { advice } = queueOf(this.#context, step.job);
    if (advice === undefined || step.advice.tickets.size > 0) return false;
    return !this.#mayAsk(step, advice);
  }

  /** Asks about a step if that may help now. */
  ask(
    step: StepRun,
    context: Omit<ChoiceContext, "goodShare" | "lanes">,
  ): void {
    const { queue, nowMs } = context;
    if (queue.advice === undefined || !this.#mayAsk(step, queue.advice)) return;
    const questions = planQuestions(step, {
      ...context,
      goodShare: this.#goodShareOf(queue),
      lanes: this.#desk.freeFor(queue.advice),
    });
    if (questions.length === 0) return this.#lookAgain(step, nowMs);
    const { baseMs, perWorkerMs } = queue.advice;
    const asked = questions.map((workers): Asked => ({
      queue,
      workers,
      expectedMs: baseMs + workers.length * perWorkerMs,
    }));
    for (const question of asked) void this.#askOne(step, question);
  }

  #mayAsk(step: StepRun, advice: AdvicePolicy): boolean {
    const { asking, retryAtMs } = step.advice;
    return asking === 0 && retryAtMs <= this.#context.clock.monotonic() &&
      this.#desk.freeFor(advice) > 0;
  }

  async #askOne(step: StepRun, asked: Asked): Promise<void> {
    const { clock, kick } = this.#context;
    const { workers, expectedMs } = asked;
    const { advice } = step;
    const askedMs = clock.monotonic();
    let overdue = false;
    advice.asking++;
    const timer = clock.after(expectedMs + OVERDUE_MS, () => {
      overdue = true;
      advice.asking--;
      kick();
    });
    const answer = await this.#desk.ask({
      step: stepKey(step),
      workers: workers.map(({ id }) => id),
      expectedMs,
    });
    timer.cancel();
    this.#tell(step, answer, {
      asked: workers.length,
      tookMs: Math.round(clock.monotonic() - askedMs),
      expectedMs: Math.round(expectedMs),
    });
    if (answer.type === "advised") {
      this.#learn(step, { asked, tickets: answer.tickets });
    } else advice.retryAtMs = clock.monotonic() + ASK_AGAIN_MS;
    this.#answered(step);
    if (!overdue) advice.asking--;
  }

  /** Spares the search for a while; room that comes free meanwhile is looked at then. */
  #lookAgain(step: StepRun, nowMs: number): void {
    const againMs = step.spec.gang ? GANG_AGAIN_MS : STEP_AGAIN_MS;
    step.advice.retryAtMs = nowMs + againMs;
    const { clock, kick } = this.#context;
    this.#lookTimer ??= clock.after(againMs, () => {
      this.#lookTimer = undefined;
      kick();
    });
  }

  #tell(
    step: StepRun,
    answer: Advice,
    figures: {
      readonly asked: number;
      readonly tookMs: number;
      readonly expectedMs: number;
    },
  ): void {
    this.#context.log.info("advice.answered", {
      job: step.job.id,
      step: step.index,
      queue: step.job.queue,
      good: answer.type === "advised" ? answer.tickets.size : 0,
      ...figures,
      outcome: answer.type,
      reason: answer.type === "failed" ? answer.message : undefined,
    });
  }

  #learn(
    step: StepRun,
    { asked: { queue, workers }, tickets }: {
      readonly asked: Asked;
      readonly tickets: ReadonlyMap<string, string>;
    },
  ): void {
    const atMs = this.#context.clock.monotonic();
    let fresh = 0;
    let good = 0;
    for (const worker of workers) {
      const ticket = tickets.get(worker.id);
      if (!step.advice.verdicts.has(worker.id)) {
        fresh++;
        if (ticket !== undefined) good++;
      }
      step.advice.verdicts.set(worker.id, ticket !== undefined);
      if (ticket !== undefined) noteTicket(step, worker.id, { ticket, atMs });
    }
    if (fresh === 0) return;
    const share = this.#goodShareOf(queue);
    const next = share + GOOD_WEIGHT * (good / fresh - share);
    this.#goodShares.set(queue.name, Math.max(LEAST_GOOD_SHARE, next));
  }

  #goodShareOf(queue: Queue): number {
    return this.#goodShares.get(queue.name) ?? FIRST_GOOD_SHARE;
  }
}
