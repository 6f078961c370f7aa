/**
 * Places the waiting tasks of a step on workers.
 *
 * Load pattern: a full fleet with a backlog of hundreds of steps, of which each
 * scheduling pass can place a few. For a step that needs advice, only workers
 * with a ticket are considered, so that an attempt costs as much as there are
 * tickets, not workers.
 *
 * @module
 */
import {
  chargedAmounts,
  type FleetWorker,
  tasksThatFit,
  teamAllowance,
} from "../fleet.ts";
import type { StepRun, Task } from "../job.ts";
import { NO_AMOUNTS, plus, type Queue } from "../types.ts";
import {
  availableCapacity,
  groupByRack,
  remainingPerWorker,
  waitingTasks,
} from "./capacity.ts";
import {
  filterAndOrder,
  type SearchContext,
  workersWithCapacity,
} from "./suitable_workers.ts";
import { slowestOf } from "./worker_ranking.ts";

/**
 * A task, the worker chosen for it and, if the step needs advice, the ticket
 * for its start.
 */
export interface Placement {
  readonly task: Task;
  readonly worker: FleetWorker;
  readonly ticket?: string;
}

/**
 * Why a step has waiting tasks that were not placed. `noRoom`: not enough free
 * capacity; `noAdvice`: no usable ticket.
 */
export type NoPlacementReason =
  | "teamLimit"
  | "limitHeadroom"
  | "noRoom"
  | "noAdvice"
  | "gangIncomplete";

/** Result of one placement attempt for a step. */
export interface PlacementResult {
  readonly placements: readonly Placement[];
  readonly reason: NoPlacementReason | undefined;
}

/**
 * A ticket is not used in the last part of its validity, milliseconds: the
 * commit and the start request take time.
 */
export const TICKET_MARGIN_MS = 120;

/**
 * Chooses workers for the waiting tasks of a step, for as many as possible now.
 * A gang is placed as a whole or not at all.
 */
export function findPlacements(
  step: StepRun,
  context: SearchContext,
): PlacementResult {
  const { queue } = context;
  const { gang } = step.spec;
  const limit = blockingLimit(step, context);
  if (limit !== undefined) return noPlacements(limit);
  if (!mayHaveUsableTicket(step, context)) return noPlacements("noAdvice");
  const waiting = waitingTasks(step);
  const candidates = queue.advice === undefined
    ? workersWithCapacity(step, context)
    : filterAndOrder(step, workersWithTicket(step, context), context);
  if (candidates.length === 0) {
    return noPlacements(queue.advice === undefined ? "noRoom" : "noAdvice");
  }
  const allowance = allowanceOf(step, context, context.limitHeadroom);
  const placements = assignTasks(step, {
    waiting: waiting.slice(0, Math.min(waiting.length, allowance)),
    candidates,
    context,
  });
  return gang && placements.length < waiting.length
    ? noPlacements("gangIncomplete")
    : { placements, reason: undefined };
}

/**
 * What keeps a step from starting by its team's limit, with or without
 * tickets; `undefined` if nothing does.
 */
export function blockingLimit(
  step: StepRun,
  context: SearchContext,
): "teamLimit" | "limitHeadroom" | undefined {
  if (context.team === undefined) return undefined;
  const minTasks = step.spec.gang ? waitingTasks(step).length : 1;
  if (allowanceOf(step, context, context.limitHeadroom) >= minTasks) {
    return undefined;
  }
  return allowanceOf(step, context) < minTasks ? "teamLimit" : "limitHeadroom";
}

/** Input for the choice of usable tickets. */
type TicketContext = Pick<SearchContext, "fleet" | "queue" | "nowMs">;

/** Whether the step has a usable ticket for a worker's current process. */
export function hasUsableTicket(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: Pick<SearchContext, "queue" | "nowMs">,
): boolean {
  const ticket = step.advice.tickets.get(worker.id);
  return ticket !== undefined &&
    ticket.processStartMs === worker.processStartMs &&
    isFresh(ticket.atMs, queue, nowMs);
}

/** Number of a step's tickets that can be used at a time. */
export function countUsableTickets(
  step: StepRun,
  context: TicketContext,
): number {
  return mayHaveUsableTicket(step, context)
    ? workersWithTicket(step, context).length
    : 0;
}

/** Whether a ticket issued at `atMs` can still be used. */
function isFresh(atMs: number, { advice }: Queue, nowMs: number): boolean {
  return advice === undefined ||
    nowMs < atMs + advice.ticketMs - TICKET_MARGIN_MS;
}

/**
 * Number of tasks of a step that may start within its team's limit, beside
 * `headroom`.
 */
function allowanceOf(
  { job, spec }: StepRun,
  { fleet, team }: SearchContext,
  headroom = NO_AMOUNTS,
): number {
  const unavailable = plus(fleet.usedBy(job.team), headroom);
  return teamAllowance(team, unavailable, spec.amounts);
}

/** Whether a step needs no ticket or may have a usable one. */
export function mayHaveUsableTicket(
  { advice }: StepRun,
  { queue, nowMs }: TicketContext,
): boolean {
  return queue.advice === undefined ||
    isFresh(advice.newestTicketMs, queue, nowMs);
}

function workersWithTicket(
  step: StepRun,
  { fleet, queue, nowMs }: TicketContext,
): readonly FleetWorker[] {
  const workers: FleetWorker[] = [];
  for (const [id, { atMs, processStartMs }] of step.advice.tickets) {
    if (!isFresh(atMs, queue, nowMs)) continue;
    const worker = fleet.workers.get(id);
    if (worker === undefined) continue;
    if (worker.processStartMs === processStartMs) workers.push(worker);
  }
  return workers;
}

/**
 * The tasks to place and the workers to place them on, the preferred ones
 * first.
 */
interface AssignmentInput {
  readonly waiting: readonly Task[];
  readonly candidates: readonly FleetWorker[];
  readonly context: SearchContext;
}

function assignTasks(
  step: StepRun,
  input: AssignmentInput,
): readonly Placement[] {
  return step.spec.sameRack
    ? assignWithinRack(step, input) ?? assignInOrder(step, input)
    : assignInOrder(step, input);
}

/**
 * Places the step on the first rack where it ends in time. If there is none,
 * chooses the rack whose slowest used worker is the fastest. `undefined` if no
 * rack has enough capacity.
 */
function assignWithinRack(
  step: StepRun,
  input: AssignmentInput,
): readonly Placement[] | undefined {
  let best: readonly Placement[] | undefined;
  let bestFactor = Infinity;
  for (const candidates of groupByRack(input.candidates)) {
    const placements = assignInOrder(step, { ...input, candidates });
    if (placements.length < input.waiting.length) continue;
    const used = placements.map(({ worker }) => worker);
    const slowest = slowestOf(step, used, input.context);
    if (slowest.inTime) return placements;
    if (slowest.timeFactor >= bestFactor) continue;
    best = placements;
    bestFactor = slowest.timeFactor;
  }
  return best;
}

function assignInOrder(
  step: StepRun,
  { waiting, candidates, context: { reserved } }: AssignmentInput,
): readonly Placement[] {
  const amounts = chargedAmounts(step);
  const placements: Placement[] = [];
  let nextTask = 0;
  for (const worker of candidates) {
    let remaining = Math.min(
      tasksThatFit(availableCapacity(worker, reserved), amounts),
      remainingPerWorker(step, worker),
    );
    const ticket = step.advice.tickets.get(worker.id)?.ticket;
    while (remaining > 0 && nextTask < waiting.length) {
      const task = waiting[nextTask]!;
      placements.push({
        task,
        worker,
        ...(ticket === undefined ? {} : { ticket }),
      });
      nextTask++;
      remaining--;
    }
    if (nextTask === waiting.length) break;
  }
  return placements;
}

function noPlacements(reason: NoPlacementReason): PlacementResult {
  return { placements: [], reason };
}
