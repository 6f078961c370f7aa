/**
 * Which workers questions for advice name.
 *
 * Load pattern: a burst of gangs in a full fleet, of which a quarter may run on
 * a worker. A gang needs tickets of many workers at the same moment, so it asks
 * about many at once through several lanes; the more are free, the more.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { AdvicePolicy, Queue } from "../types.ts";
import { mostAsked } from "./lanes.ts";
import { isTicketed, type NoPlace } from "./placement.ts";
import {
  bestOf,
  preferredFor,
  roomyFor,
  type SearchContext,
} from "./suitable_workers.ts";
import { capacityFor, isEligible, mostOn, waitingTasks } from "./room.ts";

/** Part of a call's constant cost that may go to asking about more workers than needed. */
const ASK_WIDELY = 0.25;
/** Workers asked about beyond the number that should do. */
const ASK_SPARE = 2;
/** Part of the good workers needed that is asked about beyond them, as room goes meanwhile. */
const TICKETS_SPARE = 0.25;
/** Factor by which more workers are asked about than should do. */
const ASK_FACTOR = 1.6;
/** The same for gangs, which lose everything with one place too few. */
const GANG_ASK_FACTOR = 2;
/** Part of a busy worker that a gang may hope to get soon. */
const HOPED_SHARE = 0.34;
/** Room is scarce for a gang that may hope for less than so many times its need: much of it is gone when the answer comes. */
const PLENTY = 2;
/** Part of the free lanes that the questions of one step may take. */
const LANES_SHARE = 0.34;

/** What a choice goes by. */
export interface ChoiceContext extends SearchContext {
  /** Share of workers that the service usually allows. */
  readonly goodShare: number;
  /** Whether gangs of the service wait for room that is not free yet. */
  readonly busy: boolean;
  /** Lanes that are free for questions of the queue. */
  readonly lanes: number;
}

/** Whether a verdict on more workers could bring a place. */
export function adviceMayHelp(reason: NoPlace | undefined): boolean {
  switch (reason) {
    case "noAdvice":
    case "gangIncomplete":
    case undefined:
      return true;
    case "noRoom":
    case "teamLimit":
    case "limitHeadroom":
      return false;
  }
}

/** The questions to ask about a step now, each the workers that it names. */
export function planQuestions(
  step: StepRun,
  context: ChoiceContext,
): readonly (readonly FleetWorker[])[] {
  const { advice } = context.queue;
  if (advice === undefined || context.lanes === 0) return [];
  return split(chooseAsked(step, context), advice, context.lanes);
}

/** Workers known to be good go first; of the others as many as should give enough good ones. */
function chooseAsked(
  step: StepRun,
  context: ChoiceContext,
): readonly FleetWorker[] {
  const { verdicts } = step.advice;
  const { held } = context;
  const open = roomyFor(step, context)
    .filter(({ id }) => verdicts.get(id) !== false);
  const lasting = open.filter((worker) => ticketLasts(step, worker, context));
  const waiting = waitingTasks(step).length - capacityFor(step, lasting, held);
  const askable = open.filter((worker) => !lasting.includes(worker));
  const good = askable.filter(({ id }) => verdicts.get(id) === true);
  const goodRoom = capacityFor(step, good, held);
  if (goodRoom >= waiting) {
    const best = bestOf(step, good, context);
    return enoughOf(step, best, { waiting, context });
  }
  const unknown = askable.filter(({ id }) => !verdicts.has(id));
  const unknownRoom = capacityFor(step, unknown, held);
  const hoped = goodRoom + unknownRoom * context.goodShare;
  if (step.spec.gang && context.busy && hoped < PLENTY * waiting) {
    const more = chooseWidely(step, waiting, context);
    if (hoped < waiting) return more;
    if (more.length > 0) return [...good, ...more];
  }
  if (step.spec.gang && hoped < waiting) {
    // The room would not do; the verdicts still help if none is known yet.
    if (verdicts.size > 0 || goodRoom + unknownRoom < waiting) return [];
  }
  const perWorker = Math.max(1, unknownRoom / Math.max(1, unknown.length));
  const missing = (waiting - goodRoom) / perWorker / context.goodShare;
  const factor = step.spec.gang ? GANG_ASK_FACTOR : ASK_FACTOR;
  const number = Math.max(
    Math.ceil(factor * missing) + ASK_SPARE,
    cheaply(context.queue),
  );
  // Of alike workers the emptiest are the likeliest to have room still when the answer comes.
  const asked = preferredFor(step, unknown, context).slice(0, number);
  return [...good, ...asked];
}

/** Whether a worker's ticket can still be used when the answer to a question comes. */
function ticketLasts(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: ChoiceContext,
): boolean {
  const answeredMs = nowMs + (queue.advice?.baseMs ?? 0);
  return isTicketed(step, worker, { queue, nowMs: answeredMs });
}

/** Workers that a call may name at little extra cost. */
function cheaply({ advice }: Queue): number {
  if (advice === undefined) return 0;
  const { baseMs, perWorkerMs } = advice;
  return perWorkerMs === 0
    ? mostAsked(advice)
    : Math.floor(ASK_WIDELY * baseMs / perWorkerMs);
}

/** Of good workers as many as have room enough, and some to spare. */
function enoughOf(
  step: StepRun,
  good: readonly FleetWorker[],
  { waiting, context }: {
    readonly waiting: number;
    readonly context: ChoiceContext;
  },
): readonly FleetWorker[] {
  let number = 0;
  for (let room = 0; room < waiting && number < good.length; number++) {
    room += capacityFor(step, [good[number]!], context.held);
  }
  const spare = Math.max(
    ASK_SPARE + Math.ceil(TICKETS_SPARE * number),
    cheaply(context.queue) - number,
  );
  return good.slice(0, number + spare);
}

/** For a gang that finds no room now: workers it could reserve room on, unless enough are known. */
function chooseWidely(
  step: StepRun,
  waiting: number,
  context: ChoiceContext,
): readonly FleetWorker[] {
  const { verdicts } = step.advice;
  const { index, queue, goodShare } = context;
  const eligible = index.workers(queue.service).filter((worker) =>
    isEligible(step, worker, context) && mostOn(step, worker) > 0
  );
  const hoped = (workers: readonly FleetWorker[]) =>
    workers.reduce(
      (sum, worker) => sum + Math.max(1, HOPED_SHARE * mostOn(step, worker)),
      0,
    );
  const known = hoped(eligible.filter(({ id }) => verdicts.get(id) === true));
  if (known >= waiting) return [];
  const unknown = eligible.filter(({ id }) => !verdicts.has(id))
    .sort((a, b) => a.used.cpuMillis - b.used.cpuMillis);
  const each = hoped(unknown) / Math.max(1, unknown.length);
  const missing = (waiting - known) / Math.max(1, each) / goodShare;
  return unknown.slice(0, Math.ceil(missing) + ASK_SPARE);
}

/** Shares workers out among lanes: a question about as many as double its constant cost keeps both its time and its cost low. */
function split(
  asked: readonly FleetWorker[],
  advice: AdvicePolicy,
  lanes: number,
): readonly (readonly FleetWorker[])[] {
  const { baseMs, perWorkerMs } = advice;
  const most = mostAsked(advice);
  const balanced = perWorkerMs === 0
    ? most
    : Math.min(most, Math.max(1, Math.round(baseMs / perWorkerMs)));
  const open = Math.max(1, Math.floor(LANES_SHARE * lanes));
  const count = Math.min(open, Math.ceil(asked.length / balanced));
  const size = Math.min(most, Math.ceil(asked.length / count));
  return Array.from(
    { length: count },
    (_, index) => asked.slice(index * size, (index + 1) * size),
  );
}
