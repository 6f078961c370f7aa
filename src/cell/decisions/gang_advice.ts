/**
 * Chooses the workers that a gang asks about while not all of the capacity that
 * it needs is free.
 *
 * Load pattern: a mostly full fleet in which a gang may run on a quarter of the
 * workers, and an advice request takes as long as a tenth of a task. A gang
 * that knows few suitable workers waits for exactly these to become free. A
 * gang that asks for tickets only once all its capacity is free leaves that
 * capacity idle until the response arrives.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import {
  isEligible,
  maxTasksOn,
  taskCapacity,
  waitingTasks,
} from "./capacity.ts";
import { hasUsableTicket } from "./placement.ts";
import type { SearchContext } from "./suitable_workers.ts";

/** Workers asked about beyond the number that should be enough. */
const EXTRA_WORKERS = 2;
/**
 * Part of the free processors that is in pieces large enough for a task of a
 * gang.
 */
const WHOLE_PIECES_SHARE = 0.6;
/** Lower bound of the share of a worker that a gang can expect to get soon. */
const MIN_EXPECTED_SHARE = 0.05;
/**
 * Share of a gang's tasks that must have free capacity before tickets for the
 * rest are requested ahead.
 */
const MIN_FREE_SHARE = 0.6;
/** Tickets requested ahead, as a multiple of the number that should be enough. */
const AHEAD_FACTOR = 1.25;

/** Input for choosing the workers that a gang asks about. */
export interface GangAdviceContext extends SearchContext {
  /**
   * Estimated share of the asked workers on which the advice service allows the
   * queue's steps to run.
   */
  readonly goodShare: number;
  /**
   * Latest time at which the responses to requests sent now are expected,
   * monotonic milliseconds.
   */
  readonly responseMs: number;
}

/**
 * Chooses workers without a verdict, so that the gang will know enough suitable
 * ones to reserve capacity on. Empty if it knows enough already.
 */
export function chooseForReservation(
  step: StepRun,
  missingTasks: number,
  context: GangAdviceContext,
): readonly FleetWorker[] {
  const { verdicts } = step.advice;
  const { goodShare } = context;
  const share = expectedShare(context);
  const eligible = eligibleWorkers(step, context);
  const expectedSlots = (workers: readonly FleetWorker[]) =>
    workers.reduce((sum, worker) => sum + share * maxTasksOn(step, worker), 0);
  const knownSlots = expectedSlots(
    eligible.filter((worker) => verdicts.on(worker) === true),
  );
  if (knownSlots >= missingTasks) return [];
  const unknown = eligible.filter((worker) => verdicts.on(worker) === undefined)
    .sort((a, b) => a.used.cpuMillis - b.used.cpuMillis);
  const perWorker = expectedSlots(unknown) / Math.max(1, unknown.length);
  const missingWorkers = (missingTasks - knownSlots) / perWorker / goodShare;
  return unknown.slice(0, Math.ceil(missingWorkers) + EXTRA_WORKERS);
}

/**
 * Chooses suitable workers to request tickets for ahead of time, the emptiest
 * first: those that should have room for the whole gang when the response
 * arrives. Empty if enough tickets are usable until then; `undefined` if it is
 * too early.
 */
export function chooseAhead(
  step: StepRun,
  context: GangAdviceContext,
): readonly FleetWorker[] | undefined {
  const needed = waitingTasks(step).length;
  const share = expectedShare(context);
  const candidates = eligibleWorkers(step, context)
    .filter((worker) => step.advice.verdicts.on(worker) === true)
    .map((worker) => {
      const free = Math.max(0, taskCapacity(step, [worker], context.reserved));
      const expected = Math.min(
        maxTasksOn(step, worker),
        free + share * maxTasksOn(step, worker),
      );
      return { worker, free, expected };
    })
    .sort((a, b) =>
      b.expected - a.expected ||
      a.worker.used.cpuMillis - b.worker.used.cpuMillis
    );
  const free = candidates.reduce((sum, one) => sum + one.free, 0);
  if (free < MIN_FREE_SHARE * needed) return undefined;
  const expectedOf = (some: typeof candidates) =>
    some.reduce((sum, one) => sum + one.expected, 0);
  if (expectedOf(candidates) < needed) return undefined;
  const lasting = candidates.filter(({ worker }) =>
    willTicketBeUsable(step, worker, context)
  );
  if (expectedOf(lasting) >= needed) return [];
  let expected = 0;
  const asked: FleetWorker[] = [];
  for (const candidate of candidates) {
    if (expected >= AHEAD_FACTOR * needed) break;
    asked.push(candidate.worker);
    expected += candidate.expected;
  }
  return asked;
}

/**
 * Whether the step's ticket for a worker will still be valid when the responses
 * to advice requests sent now arrive.
 */
export function willTicketBeUsable(
  step: StepRun,
  worker: FleetWorker,
  { queue, responseMs }: GangAdviceContext,
): boolean {
  return hasUsableTicket(step, worker, { queue, nowMs: responseMs });
}

/** Workers that may run a step once their other tasks have ended. */
function eligibleWorkers(
  step: StepRun,
  context: GangAdviceContext,
): readonly FleetWorker[] {
  const { index, queue } = context;
  return index.workers(queue.service).filter((worker) =>
    isEligible(step, worker, context) && maxTasksOn(step, worker) > 0
  );
}

/**
 * Share of a worker that a gang can expect to get soon: the share of the
 * service's processors that is free now.
 */
function expectedShare({ index, queue }: SearchContext): number {
  const total = index.totals().get(queue.service);
  if (total === undefined || total.cpuMillis === 0) return MIN_EXPECTED_SHARE;
  const freeShare = 1 - total.usedMillis / total.cpuMillis;
  return Math.max(MIN_EXPECTED_SHARE, WHOLE_PIECES_SHARE * freeShare);
}
