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
  type FleetWorker,
  tasksIn,
  teamAllowance,
  weighsOn,
} from "../fleet.ts";
import type { StepRun, Task } from "../job.ts";
import { NO_AMOUNTS, plus, type Queue } from "../types.ts";
import { byRack, openRoom, perWorkerLeft, waitingTasks } from "./room.ts";
import { type SearchContext, suited, withRoom } from "./suitable_workers.ts";
import { slowestOf } from "./worker_choice.ts";

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

/** A ticket is not used in the last part of its life, milliseconds: commit and order take time. */
const TICKET_MARGIN_MS = 120;
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
