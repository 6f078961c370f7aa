/**
 * The workers that could take a task of a step now, in order of preference.
 *
 * Load pattern: a full fleet whose workers differ in speed, where each
 * scheduling pass searches for capacity for hundreds of steps. Workers are
 * ordered by expected run time only once per search, and not at all if their
 * speeds are even.
 *
 * @module
 */
import {
  chargedAmounts,
  type Fleet,
  type FleetWorker,
  freeCapacityOf,
} from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Amounts, Queue, Team } from "../types.ts";
import type { TimeBudget } from "./backlog_order.ts";
import {
  type CapacityIndex,
  hasCapacity,
  isEligible,
  type ReservedCapacity,
  taskCapacity,
  waitingTasks,
} from "./capacity.ts";
import {
  type ExpectedTimes,
  sortByTier,
  tiersFor,
  tierWithFailures,
} from "./worker_ranking.ts";

/** Input of a search for workers. */
export interface SearchContext {
  readonly fleet: Fleet;
  readonly index: CapacityIndex;
  readonly queue: Queue;
  readonly team: Team | undefined;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Capacity that is reserved for other steps. */
  readonly reserved: ReservedCapacity;
  readonly runTimes: ExpectedTimes;
  /** The time that is left for the step. */
  readonly timeBudget: () => TimeBudget;
  /**
   * Amounts that the step must leave free below its team's limit; none if
   * missing.
   */
  readonly limitHeadroom?: Amounts;
}

/**
 * Tier offset of workers on another rack than the data, greater than all tiers
 * by time.
 */
const FAR_TIER = 100_000;

/**
 * Workers with capacity for a task of a step, regardless of advice, the
 * preferred ones first.
 */
export function workersWithCapacity(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  return inPreferenceOrder(step, findWithCapacity(step, context), context);
}

/**
 * The same workers in the order for even speeds, for callers that rank only some
 * of them.
 */
export function unrankedWithCapacity(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  return findWithCapacity(step, context).map(({ worker }) => worker);
}

/**
 * Orders some of the workers of {@linkcode unrankedWithCapacity}, the preferred
 * ones first.
 */
export function orderByPreference(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  const candidates = workers.map((worker) => candidateOf(step, worker));
  return inPreferenceOrder(step, candidates, context);
}

function findWithCapacity(
  step: StepRun,
  context: SearchContext,
): readonly Candidate[] {
  const { index, queue } = context;
  const { cpuMillis } = chargedAmounts(step);
  return findCandidates(
    step,
    index.withFreeCpu(queue.service, cpuMillis),
    context,
  );
}

/**
 * Orders workers for an advice request: by expected run time as for a placement
 * and, within a tier, the emptiest first, as these are the most likely to still
 * have capacity when the response arrives.
 *
 * `workers`: in the order of {@linkcode unrankedWithCapacity}.
 */
export function orderForAdvice(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext & {
    /**
     * Estimated share of the asked workers on which the advice service allows
     * the queue's steps to run; 1 if absent.
     */
    readonly goodShare?: number;
  },
): readonly FleetWorker[] {
  const { reserved, goodShare = 1, index, queue } = context;
  const emptiest = [...workers].reverse();
  if (!index.hasUnevenSpeeds(queue.service)) return emptiest;
  const tierOf = tiersFor(step, workers, {
    ...context,
    neededTasks: waitingTasks(step).length / goodShare,
    taskCapacityOf: (worker) => taskCapacity(step, [worker], reserved),
  });
  return tierOf === undefined
    ? emptiest
    : sortByTier(emptiest, (worker) => tierWithFailures(worker, tierOf));
}

/** A worker that could take a task, with its sort keys. */
interface Candidate {
  readonly worker: FleetWorker;
  /** Whether it is on another rack than the data. */
  readonly far: boolean;
  readonly freeMillis: number;
}

/**
 * Those of the workers that may run a step and have capacity for a task of it,
 * the preferred ones first.
 */
export function filterAndOrder(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly FleetWorker[] {
  return inPreferenceOrder(
    step,
    findCandidates(step, workers, context),
    context,
  );
}

function findCandidates(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: SearchContext,
): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const worker of workers) {
    if (!isEligible(step, worker, context)) continue;
    if (!hasCapacity(step, worker, context.reserved)) continue;
    candidates.push(candidateOf(step, worker));
  }
  return candidates.sort(compareCandidates);
}

function candidateOf({ spec }: StepRun, worker: FleetWorker): Candidate {
  const { dataRack } = spec;
  return {
    worker,
    far: dataRack !== "" && !worker.entry?.labels.includes(dataRack),
    freeMillis: freeCapacityOf(worker).cpuMillis,
  };
}

/**
 * Reorders candidates, given in the order for even speeds, by expected run
 * time.
 */
function inPreferenceOrder(
  step: StepRun,
  candidates: readonly Candidate[],
  context: SearchContext,
): readonly FleetWorker[] {
  const workers = candidates.map(({ worker }) => worker);
  const tierOf = tiersFor(step, workers, {
    ...context,
    neededTasks: waitingTasks(step).length,
    taskCapacityOf: (worker) => taskCapacity(step, [worker], context.reserved),
  });
  if (tierOf === undefined) return workers;
  return sortByTier(
    candidates,
    ({ worker, far }) =>
      tierWithFailures(worker, tierOf) + (far ? FAR_TIER : 0),
  ).map(({ worker }) => worker);
}

/**
 * Workers on the data's rack first, then those with fewer failures, then the
 * fullest, so that large free capacity stays in one piece.
 */
function compareCandidates(a: Candidate, b: Candidate): number {
  return Number(a.far) - Number(b.far) ||
    a.worker.failureShare - b.worker.failureShare ||
    a.freeMillis - b.freeMillis;
}
