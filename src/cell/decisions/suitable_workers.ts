/**
 * Which workers could take a task of a step now, and in which order.
 *
 * Load pattern: a full fleet whose workers differ in speed, in which each pass
 * looks for room for hundreds of steps. What is ordered by expected time is
 * ordered once, and not at all where speeds are even.
 *
 * @module
 */
import { type Fleet, type FleetWorker, roomOn, weighsOn } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Amounts, Queue, Team } from "../types.ts";
import type { StepTime } from "./order.ts";
import {
  capacityFor,
  hasRoom,
  isEligible,
  type Kept,
  type RoomIndex,
  waitingTasks,
} from "./room.ts";
import {
  byTier,
  type ExpectedTimes,
  tiersFor,
  tierWithFailures,
} from "./worker_choice.ts";

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

/** Tier of workers on another rack than the data, beyond all tiers by time. */
const FAR_TIER = 100_000;

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

/** A worker that could take a task, with what it is ordered by. */
interface Suited {
  readonly worker: FleetWorker;
  /** Whether it is on another rack than the data. */
  readonly far: boolean;
  readonly freeMillis: number;
}

/** Those workers that may run a step and have room for it, in order. */
export function suited(
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
