/**
 * Which workers a question for advice names.
 *
 * @module
 */
import type { FleetWorker } from "./fleet.ts";
import type { StepRun } from "./job.ts";
import {
  capacityFor,
  isEligible,
  type NoPlace,
  type Search,
  type SearchContext,
} from "./placement.ts";
import { mostOn } from "./reservations.ts";
import type { Queue } from "./types.ts";

/** Part of a call's constant cost that may go to asking about more workers than needed. */
const ASK_WIDELY = 0.25;
/** Most workers in a question; source: the platform's pages. */
const MAX_ASKED = 100;
/** Workers asked about beyond the number that should do. */
const ASK_SPARE = 2;
/** Part of the good workers needed that is asked about beyond them, as room goes meanwhile. */
const TICKETS_SPARE = 0.25;
/** Factor by which more workers are asked about than should do. */
const ASK_FACTOR = 1.6;
/** Part of a busy worker that a gang may hope to get soon. */
const HOPED_SHARE = 0.34;
/** Room is scarce for a gang that may hope for less than so many times its need: much of it is gone when the answer comes. */
const PLENTY = 2;

/** What a choice goes by. */
export interface ChoiceContext extends SearchContext {
  /** Share of workers that the service usually allows. */
  readonly goodShare: number;
  /** Whether gangs of the service wait for room that is not free yet. */
  readonly busy: boolean;
}

/** Workers that a call may name at little extra cost. */
function cheaply(queue: Queue): number {
  if (queue.advice === undefined) return 0;
  const { baseMs, perWorkerMs } = queue.advice;
  return perWorkerMs === 0
    ? MAX_ASKED
    : Math.floor(ASK_WIDELY * baseMs / perWorkerMs);
}

/** Whether a verdict on more workers could bring a place. */
export function adviceMayHelp(
  reason: NoPlace | undefined,
  gang: boolean,
): boolean {
  switch (reason) {
    case "noAdvice":
    case "gangIncomplete":
    case undefined:
      return true;
    case "noRoom":
      return gang;
    case "teamLimit":
      return false;
  }
}

/** Workers known to be good go first; of the others as many as should give enough good ones. */
export function chooseAsked(
  step: StepRun,
  { unadvised }: Pick<Search, "unadvised">,
  context: ChoiceContext,
): readonly FleetWorker[] {
  const { verdicts } = step.advice;
  const waiting = step.tasks.filter((task) => task.phase === "waiting").length;
  const good = unadvised.filter((worker) => verdicts.get(worker.id) === true);
  const goodRoom = capacityFor(step, good, context);
  if (goodRoom >= waiting) return enoughOf(step, good, { waiting, context });
  const unknown = unadvised.filter((worker) => !verdicts.has(worker.id));
  const unknownRoom = capacityFor(step, unknown, context);
  const hoped = goodRoom + unknownRoom * context.goodShare;
  if (step.spec.gang && context.busy && hoped < PLENTY * waiting) {
    const more = chooseWidely(step, waiting, context);
    if (hoped < waiting) return more;
    if (more.length > 0) return [...good, ...more].slice(0, MAX_ASKED);
  }
  if (step.spec.gang && hoped < waiting) {
    // The room would not do; the verdicts still help if none is known yet.
    if (verdicts.size > 0 || goodRoom + unknownRoom < waiting) return [];
  }
  const perWorker = Math.max(1, unknownRoom / Math.max(1, unknown.length));
  const missing = (waiting - goodRoom) / perWorker / context.goodShare;
  const number = Math.max(
    Math.ceil(ASK_FACTOR * missing) + ASK_SPARE,
    cheaply(context.queue),
  );
  // The emptiest are the likeliest to have room still when the answer comes.
  const asked = [...unknown].reverse().slice(0, number);
  return [...good, ...asked].slice(0, MAX_ASKED);
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
    room += capacityFor(step, [good[number]!], context);
  }
  const spare = Math.max(
    ASK_SPARE + Math.ceil(TICKETS_SPARE * number),
    cheaply(context.queue) - number,
  );
  return good.slice(0, Math.min(MAX_ASKED, number + spare));
}

/** For a gang that finds no room now: workers it could reserve room on, unless enough are known. */
function chooseWidely(
  step: StepRun,
  waiting: number,
  context: ChoiceContext,
): readonly FleetWorker[] {
  const { verdicts } = step.advice;
  const eligible = [...context.fleet.workers.values()].filter((worker) =>
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
  const missing = (waiting - known) / Math.max(1, each) / context.goodShare;
  return unknown.slice(
    0,
    Math.min(MAX_ASKED, Math.ceil(missing) + ASK_SPARE),
  );
}
