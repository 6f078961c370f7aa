/**
 * Recovers the advice that a former leader had received, after a change of
 * leader.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import { queueOf } from "./context.ts";
import { addTicket, stepKey, type StepRun } from "./job.ts";
import type { CachedAdvice } from "./types.ts";

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
  const cachedAdvice = await readCaches([...byKey.keys()]);
  for (const step of steps) step.advice.requestsInFlight--;
  let verdicts = 0;
  for (const entry of cachedAdvice) {
    const step = byKey.get(entry.step);
    if (step !== undefined) verdicts += merge(step, entry, clock.monotonic());
  }
  log.info("advice.recalled", {
    fence,
    steps: steps.length,
    verdicts,
    tookMs: Math.round(clock.monotonic() - startedMs),
  });
  context.requestPass();
}

/** Returns the number of verdicts. */
function merge(
  step: StepRun,
  { bad, good }: CachedAdvice,
  nowMs: number,
): number {
  const { verdicts } = step.advice;
  for (const worker of bad) verdicts.set(worker, false);
  for (const { worker, ticket, ageMs } of good) {
    verdicts.set(worker, true);
    addTicket(step, worker, { ticket, atMs: nowMs - ageMs });
  }
  return bad.length + good.length;
}
