/**
 * Chooses the workers that advice requests ask about.
 *
 * Load pattern: a burst of gangs in a full fleet, where each gang may run on a
 * quarter of the workers. A gang needs tickets for many workers at the same
 * moment, so it asks about many workers at once through several channels, and
 * about more the more channels are free.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { AdvicePolicy, Queue } from "../types.ts";
import { maxRequestWorkers } from "./channels.ts";
import {
  countUsableTickets,
  type NoPlacementReason,
  TICKET_MARGIN_MS,
} from "./placement.ts";
import {
  orderByPreference,
  orderForAdvice,
  type SearchContext,
  unrankedWithCapacity,
} from "./suitable_workers.ts";
import { taskCapacity, waitingTasks } from "./capacity.ts";
import {
  chooseAhead,
  chooseForReservation,
  type GangAdviceContext,
  willTicketBeUsable,
} from "./gang_advice.ts";

/**
 * Share of a request's constant cost that may be spent on asking about more
 * workers than needed.
 */
const CHEAP_COST_SHARE = 0.25;
/** Workers asked about beyond the number that should be enough. */
const EXTRA_WORKERS = 2;
/**
 * Additional workers with a positive verdict to ask about, as a share of the
 * number needed: their capacity may be taken before the response arrives.
 */
const EXTRA_WORKERS_SHARE = 0.25;
/** Factor by which more workers are asked about than should be enough. */
const OVERSAMPLING_FACTOR = 1.6;
/**
 * The same for gangs, which cannot start at all if one placement is missing.
 */
const GANG_OVERSAMPLING_FACTOR = 2;
/**
 * Capacity is scarce for a gang that can expect less than this many times its
 * need: much of it is gone when the response arrives.
 */
const AMPLE_CAPACITY_FACTOR = 2;
/**
 * A response that is later than expected by more than this counts as overdue,
 * milliseconds.
 */
export const MAX_RESPONSE_DELAY_MS = 250;
/** Share of the free channels that the requests of one step may use. */
const STEP_CHANNEL_SHARE = 0.34;

/** Input for choosing the workers of advice requests. */
export interface AdviceRequestContext
  extends Omit<GangAdviceContext, "responseMs"> {
  /** Whether gangs of the service may reserve capacity that is not free yet. */
  readonly mayReserve: boolean;
  /** Channels that are free for requests of the queue. */
  readonly freeChannels: number;
}

/** Whether verdicts on more workers could lead to a placement. */
export function adviceMayHelp(reason: NoPlacementReason | undefined): boolean {
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

/**
 * Plans the advice requests to send for a step now. Each request is a list of
 * the workers that it names.
 *
 * A gang needs all its tickets at the same moment, so tickets that expire
 * before the responses are requested along. These requests take longer, which
 * may make further tickets expire.
 */
export function planAdviceRequests(
  step: StepRun,
  context: AdviceRequestContext,
): readonly (readonly FleetWorker[])[] {
  const { queue: { advice }, freeChannels, nowMs } = context;
  if (advice === undefined || freeChannels === 0) return [];
  let durationMs = advice.baseMs;
  while (true) {
    const responseMs = nowMs + durationMs + MAX_RESPONSE_DELAY_MS;
    const { workers, together = 0 } = chooseWorkers(step, {
      ...context,
      responseMs,
    });
    const requests = splitIntoRequests(workers, advice, {
      freeChannels,
      together,
    });
    const longest = requests[0]?.length ?? 0;
    const longestMs = advice.baseMs + longest * advice.perWorkerMs;
    if (longestMs <= durationMs || !step.spec.gang) return requests;
    if (!expiresWithin(step, context, [durationMs, longestMs])) return requests;
    durationMs = longestMs;
  }
}

/** How many steps like this one have room now; at least 1. */
export function countSimilarStarts(
  step: StepRun,
  context: SearchContext,
): number {
  const slots = taskCapacity(
    step,
    unrankedWithCapacity(step, context),
    context.reserved,
  );
  return Math.max(1, Math.floor(slots / waitingTasks(step).length));
}

/**
 * Whether a ticket of a step that is usable after the first of two request
 * durations, milliseconds, is not usable after the second.
 */
function expiresWithin(
  step: StepRun,
  { fleet, queue, nowMs }: AdviceRequestContext,
  durationsMs: readonly [number, number],
): boolean {
  const usableAfter = durationsMs.map((durationMs) =>
    countUsableTickets(step, {
      fleet,
      queue,
      nowMs: nowMs + durationMs + MAX_RESPONSE_DELAY_MS,
    })
  );
  return usableAfter[0] !== usableAfter[1];
}

/** Workers to ask about, the most important ones first. */
interface ChosenWorkers {
  readonly workers: readonly FleetWorker[];
  /**
   * Number of the first workers whose tickets are of use only together; 0 if
   * absent.
   */
  readonly together?: number;
}

/**
 * Chooses the workers to ask about: as many without a verdict as are expected
 * to provide the missing capacity, and those with a positive verdict. For a gang
 * the former are first in case that not all fit into the requests: as long as
 * suitable workers are missing, tickets for the others alone are of no use. For
 * another step they start tasks at once.
 */
function chooseWorkers(
  step: StepRun,
  context: AdviceRequestContext & GangAdviceContext,
): ChosenWorkers {
  const { verdicts } = step.advice;
  const { reserved } = context;
  const withLastingTicket: FleetWorker[] = [];
  const good: FleetWorker[] = [];
  const unknown: FleetWorker[] = [];
  for (const worker of unrankedWithCapacity(step, context)) {
    const verdict = verdicts.on(worker);
    if (verdict === false) continue;
    if (willTicketBeUsable(step, worker, context)) {
      withLastingTicket.push(worker);
    } else if (verdict === true) good.push(worker);
    else unknown.push(worker);
  }
  const missingTasks = waitingTasks(step).length -
    taskCapacity(step, withLastingTicket, reserved);
  const goodSlots = taskCapacity(step, good, reserved);
  if (goodSlots >= missingTasks) {
    const best = orderByPreference(step, good, context);
    return takeEnough(step, best, { missingTasks, context });
  }
  const unknownSlots = taskCapacity(step, unknown, reserved);
  // The estimated share must not rule out a request: only a response corrects it.
  const mayStart = !step.spec.gang || goodSlots + unknownSlots >= missingTasks;
  // Ordering many workers is expensive.
  const named = () =>
    mayStart
      ? takeUnknown(step, unknown, {
        missingTasks: missingTasks - goodSlots,
        context,
      })
      : [];
  if (step.spec.gang && context.mayReserve) {
    const ahead = chooseAhead(step, context);
    if (ahead !== undefined) return { workers: [...named(), ...ahead] };
  }
  const expectedSlots = goodSlots + unknownSlots * context.goodShare;
  if (
    step.spec.gang && context.mayReserve &&
    expectedSlots < AMPLE_CAPACITY_FACTOR * missingTasks
  ) {
    const toReserve = chooseForReservation(step, missingTasks, context);
    if (toReserve.length > 0) {
      const others = expectedSlots < missingTasks ? [] : good;
      return { workers: [...toReserve, ...others] };
    }
  }
  if (!step.spec.gang) return { workers: [...good, ...named()] };
  return { workers: mayStart ? [...named(), ...good] : [] };
}

/**
 * Takes as many workers without a verdict as are expected to provide capacity
 * for the missing tasks, and more.
 */
function takeUnknown(
  step: StepRun,
  unknown: readonly FleetWorker[],
  { missingTasks, context }: {
    readonly missingTasks: number;
    readonly context: AdviceRequestContext;
  },
): readonly FleetWorker[] {
  const slots = taskCapacity(step, unknown, context.reserved);
  const perWorker = Math.max(1, slots / Math.max(1, unknown.length));
  const missingWorkers = missingTasks / perWorker / context.goodShare;
  const factor = step.spec.gang
    ? GANG_OVERSAMPLING_FACTOR
    : OVERSAMPLING_FACTOR;
  const number = Math.max(
    Math.ceil(factor * missingWorkers) + EXTRA_WORKERS,
    cheapWorkerCount(context.queue),
  );
  // Of workers in the same tier, the emptiest are the most likely to still have
  // capacity when the response arrives.
  return orderForAdvice(step, unknown, context).slice(0, number);
}

/** Number of workers that a request may name at little extra cost. */
function cheapWorkerCount({ advice }: Queue): number {
  if (advice === undefined) return 0;
  const { baseMs, perWorkerMs } = advice;
  return perWorkerMs === 0
    ? maxRequestWorkers(advice)
    : Math.floor(CHEAP_COST_SHARE * baseMs / perWorkerMs);
}

/**
 * Takes as many workers with a positive verdict as are needed for the missing
 * tasks, and a few more.
 */
function takeEnough(
  step: StepRun,
  good: readonly FleetWorker[],
  { missingTasks, context }: {
    readonly missingTasks: number;
    readonly context: AdviceRequestContext;
  },
): ChosenWorkers {
  let number = 0;
  for (
    let capacity = 0;
    capacity < missingTasks && number < good.length;
    number++
  ) {
    capacity += taskCapacity(step, [good[number]!], context.reserved);
  }
  const extra = Math.max(
    EXTRA_WORKERS + Math.ceil(EXTRA_WORKERS_SHARE * number),
    cheapWorkerCount(context.queue) - number,
  );
  return {
    workers: good.slice(0, number + extra),
    together: step.spec.gang ? number : 0,
  };
}

/**
 * Splits workers into requests, one for each channel. Both duration and cost
 * stay low when the workers of a request cost about as much as its constant
 * part. A step uses a share of the free channels, or as many of them as the
 * workers need whose tickets are of use only together: with more requests one
 * after the other, the first tickets would expire before the last ones arrive.
 */
function splitIntoRequests(
  workers: readonly FleetWorker[],
  advice: AdvicePolicy,
  { freeChannels, together }: {
    readonly freeChannels: number;
    readonly together: number;
  },
): readonly (readonly FleetWorker[])[] {
  const { baseMs, perWorkerMs } = advice;
  const maxWorkers = maxRequestWorkers(advice);
  const balanced = perWorkerMs === 0
    ? maxWorkers
    : Math.min(maxWorkers, Math.max(1, Math.round(baseMs / perWorkerMs)));
  const longestMs = baseMs + maxWorkers * perWorkerMs;
  const usableMs = advice.ticketMs - TICKET_MARGIN_MS - MAX_RESPONSE_DELAY_MS;
  const rounds = 1 + Math.max(0, Math.floor(usableMs / longestMs));
  const maxRequests = Math.max(
    1,
    Math.floor(STEP_CHANNEL_SHARE * freeChannels),
    Math.min(freeChannels, Math.ceil(together / (rounds * maxWorkers))),
  );
  const count = Math.min(maxRequests, Math.ceil(workers.length / balanced));
  const size = Math.min(maxWorkers, Math.ceil(workers.length / count));
  return Array.from(
    { length: count },
    (_, index) => workers.slice(index * size, (index + 1) * size),
  );
}
