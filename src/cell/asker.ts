/**
 * Asks the advice service about steps and keeps what it says.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDesk } from "./advice_desk.ts";
import { type CellContext, queueOf } from "./context.ts";
import { type FleetWorker, roomOn, tasksIn, weighsOn } from "./fleet.ts";
import { stepKey, type StepRun } from "./job.ts";
import type { Held, Search, SearchContext } from "./placement.ts";
import { chooseAsked } from "./questions.ts";
import { addTo } from "./reservations.ts";
import {
  type Advice,
  type Amounts,
  NO_AMOUNTS,
  plus,
  type Queue,
} from "./types.ts";

/** A question that failed is asked again after this, milliseconds. */
const ASK_AGAIN_MS = 200;
/** A gang that no question helps now is looked at again after this, milliseconds: what a task takes to end. */
const LOOK_AGAIN_MS = 50;
/** Share of workers that may run a step, before any advice. */
const FIRST_GOOD_SHARE = 0.4;
/** Weight of new advice in the share of workers that may run a queue's steps. */
const GOOD_WEIGHT = 0.1;
/** Least share that is reckoned with. */
const LEAST_GOOD_SHARE = 0.05;
/** Questions above this cost hold the room that they ask about, milliseconds. */
const HOLD_ABOVE_MS = 200;
const NO_ROOMS: Held = new Map();

/** The questions of one holder. */
export class Asker {
  readonly #context: CellContext;
  readonly #desk: AdviceDesk;
  readonly #answered: (step: StepRun) => void;
  readonly #goodShares = new Map<string, number>();
  /** Room held while a question about it is under way. */
  readonly #holds = new Map<StepRun, Held>();
  #lookTimer: Timer | undefined;

  /** `answered` is told of each answer, when room is still held for it. */
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
    const advice = queueOf(this.#context, step.job).advice;
    if (advice === undefined || step.advice.tickets.size > 0) return false;
    return step.advice.asking || !this.#desk.isFree(advice.baseMs);
  }

  /** Whether a question about a step may be asked now. */
  mayAsk(step: StepRun): boolean {
    const advice = queueOf(this.#context, step.job).advice;
    const { asking, retryAtMs } = step.advice;
    return advice !== undefined && !asking &&
      retryAtMs <= this.#context.clock.monotonic() &&
      this.#desk.isFree(advice.baseMs);
  }

  /** Room that is held for a step. */
  heldFor(step: StepRun): Held {
    return this.#holds.get(step) ?? NO_ROOMS;
  }

  /** Room that is held for steps other than this one. */
  heldBeside(step: StepRun | undefined): Map<string, Amounts> {
    const held = new Map<string, Amounts>();
    for (const [holder, rooms] of this.#holds) {
      if (holder !== step) addTo(held, rooms);
    }
    return held;
  }

  /** Nothing is held for a step any more. */
  release(step: StepRun): void {
    this.#holds.delete(step);
  }

  /** Asks about a step if that may help; `busy`: its service has little room. */
  ask(
    step: StepRun,
    search: Search,
    { busy, ...context }: SearchContext & { readonly busy: boolean },
  ): void {
    const { queue, nowMs } = context;
    const { advice } = step;
    if (queue.advice === undefined || !this.mayAsk(step)) return;
    const goodShare = this.#goodShareOf(queue);
    const asked = chooseAsked(step, search, {
      ...context,
      goodShare,
      busy,
    });
    if (asked.length === 0) {
      if (step.spec.gang) this.#lookAgain(step, nowMs);
      return;
    }
    advice.asking = true;
    const expectedMs = queue.advice.baseMs +
      asked.length * queue.advice.perWorkerMs;
    if (expectedMs > HOLD_ABOVE_MS) this.#hold(step, asked);
    const question = {
      step: stepKey(step),
      workers: asked.map((worker) => worker.id),
      expectedMs,
    };
    this.#desk.ask(question).then((answer) => {
      advice.asking = false;
      this.#tell(step, answer, {
        asked: asked.length,
        tookMs: Math.round(this.#context.clock.monotonic() - nowMs),
        expectedMs: Math.round(expectedMs),
      });
      if (answer.type === "advised") {
        this.#learn(step, { queue, asked, tickets: answer.tickets });
      } else {
        advice.retryAtMs = this.#context.clock.monotonic() + ASK_AGAIN_MS;
      }
      this.#answered(step);
      this.release(step);
    });
  }

  /** Spares the search for a while; room that comes free meanwhile is looked at then. */
  #lookAgain(step: StepRun, nowMs: number): void {
    step.advice.retryAtMs = nowMs + LOOK_AGAIN_MS;
    const { clock, kick } = this.#context;
    this.#lookTimer ??= clock.after(LOOK_AGAIN_MS, () => {
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
    const share = this.#goodShareOf(queue);
    const next = share + GOOD_WEIGHT * (good / fresh - share);
    this.#goodShares.set(queue.name, Math.max(LEAST_GOOD_SHARE, next));
  }

  #goodShareOf(queue: Queue): number {
    return this.#goodShares.get(queue.name) ?? FIRST_GOOD_SHARE;
  }
}
