/**
 * Recovers the advice that a former leader had received, after a change of
 * leader.
 *
 * @module
 */
import { describeThrown } from "../errors.ts";
import type { CellContext } from "./context.ts";
import { queueOf } from "./context.ts";
import { addTicket, stepKey, type StepRun } from "./job.ts";
import type { CachedAdvice } from "./types.ts";
import type { WorkerProcess } from "./verdicts.ts";

/**
 * Maximum number of steps to recover. More are not started within the first
 * second.
 */
const MAX_RECOVERED_STEPS = 64;

/** Reads the cached advice on these steps from all instances. */
export type ReadCaches = (
  steps: readonly string[],
) => Promise<readonly CachedAdvice[]>;

/**
 * Adds the cached advice of all instances to the steps of the backlog. Until it
 * has arrived, no advice is requested about these steps.
 */
export async function recoverAdvice(
  context: CellContext,
  readCaches: ReadCaches,
): Promise<void> {
  const { clock, log, fence, backlog } = context;
  const steps = [...backlog]
    .filter((step) => queueOf(context, step.job).advice !== undefined)
    .slice(0, MAX_RECOVERED_STEPS);
  if (steps.length === 0) return;
  const byKey = new Map(steps.map((step) => [stepKey(step), step]));
  for (const step of steps) step.advice.requestsInFlight++;
  const startedMs = clock.monotonic();
  const cachedAdvice = await readCaches([...byKey.keys()])
    // Instances of another build may send what can't be decoded. Their advice is
    // requested again.
    .catch((error): readonly CachedAdvice[] => {
      const reason = describeThrown(error);
      log.error("advice.unrecalled", { fence, reason });
      return [];
    });
  for (const step of steps) step.advice.requestsInFlight--;
  let verdicts = 0;
  for (const entry of cachedAdvice) {
    const step = byKey.get(entry.step);
    if (step !== undefined) verdicts += merge(context, step, entry);
  }
  log.info("advice.recalled", {
    fence,
    steps: steps.length,
    verdicts,
    tookMs: Math.round(clock.monotonic() - startedMs),
  });
  context.requestPass();
}

/**
 * Adds the advice on the workers' current processes and returns the number of
 * verdicts.
 *
 * Advice of an unknown process, as instances of an older build have it, may be
 * about a former one. Nothing would correct a negative verdict, and a void
 * ticket would keep a gang from starting as a whole. A positive verdict is
 * corrected by the response to the request for the ticket.
 */
function merge(
  context: CellContext,
  step: StepRun,
  { bad, good }: CachedAdvice,
): number {
  const { verdicts } = step.advice;
  const nowMs = context.clock.monotonic();
  let count = 0;
  for (const worker of bad) {
    if (!isCurrent(context, worker)) continue;
    verdicts.record(worker, false);
    count++;
  }
  for (const { worker, ticket, ageMs } of good) {
    if (isCurrent(context, worker)) {
      verdicts.record(worker, true);
      addTicket(step, worker, { ticket, atMs: nowMs - ageMs });
      count++;
    } else if (worker.processStartMs === undefined) {
      const current = currentProcess(context, worker.id);
      if (verdicts.on(current) !== undefined) continue;
      verdicts.record(current, true);
      count++;
    }
  }
  return count;
}

/** Whether a process is known, and no other process of the worker is. */
function isCurrent(context: CellContext, process: WorkerProcess): boolean {
  const { processStartMs } = currentProcess(context, process.id);
  return process.processStartMs !== undefined &&
    (processStartMs ?? process.processStartMs) === process.processStartMs;
}

/**
 * The current process of a worker: as it has reported or, before its first
 * report, as the platform lists it.
 */
function currentProcess({ fleet }: CellContext, id: string): WorkerProcess {
  const worker = fleet.workers.get(id);
  const processStartMs = worker?.processStartMs ??
    worker?.entry?.processStartMs;
  return { id, processStartMs };
}
