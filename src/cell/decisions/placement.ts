/**
 * Finds workers for the waiting tasks of a step.
 *
 * Load pattern: a full fleet with hundreds of steps in line, of which each pass
 * can place a few. A step that needs advice is placed on workers with a ticket
 * alone, so that a look costs as much as there are tickets, not workers.
 *
 * @module
 */
import {
  type Fleet,
  type FleetWorker,
  roomOn,
  tasksIn,
  teamAllowance,
  weighsOn,
} from "../fleet.ts";
import type { StepRun, Task } from "../job.ts";
import {
  type Amounts,
  NO_AMOUNTS,
  plus,
  type Queue,
  type Team,
} from "../types.ts";
import type { StepTime } from "./order.ts";
import {
  byRack,
  capacityFor,
  hasRoom,
  isEligible,
  type Kept,
  openRoom,
  perWorkerLeft,
  type RoomIndex,
  waitingTasks,
} from "./room.ts";
import {
  byTier,
  type ExpectedTimes,
  slowestOf,
  tiersFor,
  tierWithFailures,
} from "./worker_choice.ts";

/** Where a task goes. */
export interface Place {
  readonly task: Task;
  readonly worker: FleetWorker;
  readonly ticket?: string;
}

/** Why nothing was placed. */
export type NoPlace =
  | "teamLimit"
  | "limitHeadroom"
  | "noRoom"
  | "noAdvice"
  | "gangIncomplete";

/** What a look for places gives. */
export interface Search {
  readonly places: readonly Place[];
  readonly reason: NoPlace | undefined;
}

/** What a search goes by. */
export interface SearchContext {
  readonly fleet: Fleet;
  readonly index: RoomIndex;
  readonly queue: Queue;
  readonly team: Team | undefined;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Room held for others. */
  readonly held: Kept;
  readonly runTimes: ExpectedTimes;
  /** How long the step may take. */
  readonly timeOf: () => StepTime;
  /** What the step leaves free below its team's limit; nothing if it is missing. */
  readonly limitKept?: Amounts;
}

/** A ticket is not used in the last part of its life, milliseconds: commit and order take time. */
const TICKET_MARGIN_MS = 120;
/** Tier of workers on another rack than the data, beyond all tiers by time. */
const FAR_TIER = 100_000;

/** Looks for places for a step; a gang gets all or none. */
export function findPlaces(step: StepRun, context: SearchContext): Search {
  const { queue } = context;
  const { gang, amounts } = step.spec;
  if (!mayHaveTicket(step, context)) return nothing("noAdvice");
  const waiting = waitingTasks(step);
  const used = context.fleet.usedBy(step.job.team);
  const kept = context.limitKept ?? NO_AMOUNTS;
  const allowance = teamAllowance(context.team, plus(used, kept), amounts);
  const needed = gang ? waiting.length : 1;
  if (allowance < needed) {
    const whole = teamAllowance(context.team, used, amounts);
    return nothing(whole < needed ? "teamLimit" : "limitHeadroom");
  }
  const ready = queue.advice === undefined
    ? withRoom(step, context)
    : suited(step, ticketed(step, context), context);
  if (ready.length === 0) {
    return nothing(queue.advice === undefined ? "noRoom" : "noAdvice");
  }
  const most = Math.min(waiting.length, allowance);
  const places = fill(step, {
    waiting: waiting.slice(0, most),
    ready,
    context,
  });
  return gang && places.length < waiting.length
    ? nothing("gangIncomplete")
    : { places, reason: undefined };
}

/** Workers with room for a task of a step, whatever the advice, the best first. */
export function withRoom(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  return inOrder(step, findRoomy(step, context), context);
}

/** The same in the order of workers whose speed is even: which of them a question names is chosen after. */
export function roomyFor(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  return findRoomy(step, context).map(({ worker }) => worker);
}

/** Orders some of the workers of {@linkcode roomyFor}, the best first. */
export function bestOf(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  const found = workers.map((worker) => suitedOf(step, worker));
  return inOrder(step, found, context);
}

function findRoomy(step: StepRun, context: SearchContext): readonly Suited[] {
  const { index, queue } = context;
  const { cpuMillis } = weighsOn(step);
  return findSuited(step, index.withFree(queue.service, cpuMillis), context);
}

/**
 * Orders workers with room, as {@linkcode withRoom} gives them, for a question
 * for advice: by expected time as for a placement, and of alike ones the
 * emptiest first, as they are the likeliest to have room when the answer comes.
 */
export function preferredFor(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext & {
    /** Share of workers that the service usually allows; 1 if it is not given. */
    readonly goodShare?: number;
  },
): readonly FleetWorker[] {
  const { held, goodShare = 1, index, queue } = context;
  const emptiest = [...workers].reverse();
  if (!index.isUneven(queue.service)) return emptiest;
  const tierOf = tiersFor(step, workers, {
    ...context,
    needed: waitingTasks(step).length / goodShare,
    placesOn: (worker) => capacityFor(step, [worker], held),
  });
  return tierOf === undefined
    ? emptiest
    : byTier(emptiest, (worker) => tierWithFailures(worker, tierOf));
}

/** Whether a worker has a ticket that can still be used. */
export function isTicketed(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: Pick<SearchContext, "queue" | "nowMs">,
): boolean {
  const ticket = step.advice.tickets.get(worker.id);
  return ticket !== undefined && isFresh(ticket.atMs, queue, nowMs);
}

/** Whether a ticket of this age can be used. */
function isFresh(atMs: number, { advice }: Queue, nowMs: number): boolean {
  return advice === undefined ||
    nowMs < atMs + advice.ticketMs - TICKET_MARGIN_MS;
}

function mayHaveTicket(
  { advice }: StepRun,
  { queue, nowMs }: SearchContext,
): boolean {
  return queue.advice === undefined || isFresh(advice.ticketedMs, queue, nowMs);
}

function ticketed(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  const { fleet, queue, nowMs } = context;
  const found: FleetWorker[] = [];
  for (const [id, { atMs }] of step.advice.tickets) {
    if (!isFresh(atMs, queue, nowMs)) continue;
    const worker = fleet.workers.get(id);
    if (worker !== undefined) found.push(worker);
  }
  return found;
}

/** A worker that could take a task, with what it is ordered by. */
interface Suited {
  readonly worker: FleetWorker;
  /** Whether it is on another rack than the data. */
  readonly far: boolean;
  readonly freeMillis: number;
}

/** Those workers that may run a step and have room for it, in order. */
function suited(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  return inOrder(step, findSuited(step, workers, context), context);
}

function findSuited(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly Suited[] {
  const found: Suited[] = [];
  for (const worker of workers) {
    if (!isEligible(step, worker, context)) continue;
    if (!hasRoom(step, worker, context.held)) continue;
    found.push(suitedOf(step, worker));
  }
  return found.sort(compareSuited);
}

function suitedOf({ spec }: StepRun, worker: FleetWorker): Suited {
  const { dataRack } = spec;
  return {
    worker,
    far: dataRack !== "" && !worker.entry?.labels.includes(dataRack),
    freeMillis: roomOn(worker).cpuMillis,
  };
}

/** Brings workers that are in the order of even ones into that of their expected time. */
function inOrder(
  step: StepRun,
  found: readonly Suited[],
  context: SearchContext,
): readonly FleetWorker[] {
  const workers = found.map(({ worker }) => worker);
  const tierOf = tiersFor(step, workers, {
    ...context,
    needed: waitingTasks(step).length,
    placesOn: (worker) => capacityFor(step, [worker], context.held),
  });
  if (tierOf === undefined) return workers;
  return byTier(
    found,
    ({ worker, far }) =>
      tierWithFailures(worker, tierOf) + (far ? FAR_TIER : 0),
  ).map(({ worker }) => worker);
}

/** Near the data first, then the fullest, which leaves large room in one piece. */
function compareSuited(a: Suited, b: Suited): number {
  return Number(a.far) - Number(b.far) ||
    a.worker.failureShare - b.worker.failureShare ||
    a.freeMillis - b.freeMillis;
}

/** What is to be filled, and with which workers. */
interface Filling {
  readonly waiting: readonly Task[];
  readonly ready: readonly FleetWorker[];
  readonly context: SearchContext;
}

function fill(step: StepRun, filling: Filling): readonly Place[] {
  return step.spec.sameRack
    ? fillRack(step, filling) ?? fillFrom(step, filling)
    : fillFrom(step, filling);
}

/** Fills the first rack that brings the step in time; if none does, the one with the fastest slowest worker. */
function fillRack(
  step: StepRun,
  filling: Filling,
): readonly Place[] | undefined {
  let best: readonly Place[] | undefined;
  let bestFactor = Infinity;
  for (const ready of byRack(filling.ready)) {
    const places = fillFrom(step, { ...filling, ready });
    if (places.length < filling.waiting.length) continue;
    const used = places.map(({ worker }) => worker);
    const slowest = slowestOf(step, used, filling.context);
    if (slowest.inTime) return places;
    if (slowest.timeFactor >= bestFactor) continue;
    best = places;
    bestFactor = slowest.timeFactor;
  }
  return best;
}

function fillFrom(
  step: StepRun,
  { waiting, ready, context: { held } }: Filling,
): readonly Place[] {
  const amounts = weighsOn(step);
  const places: Place[] = [];
  let next = 0;
  for (const worker of ready) {
    let most = Math.min(
      tasksIn(openRoom(worker, held), amounts),
      perWorkerLeft(step, worker),
    );
    const ticket = step.advice.tickets.get(worker.id)?.ticket;
    while (most > 0 && next < waiting.length) {
      const task = waiting[next]!;
      places.push({
        task,
        worker,
        ...(ticket === undefined ? {} : { ticket }),
      });
      next++;
      most--;
    }
    if (next === waiting.length) break;
  }
  return places;
}

function nothing(reason: NoPlace): Search {
  return { places: [], reason };
}
