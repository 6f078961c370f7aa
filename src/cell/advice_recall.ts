/**
 * Recovers the advice that a former leader had received, after a change of
 * leader.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import { queueOf } from "./context.ts";
import { noteTicket, stepKey, type StepRun } from "./job.ts";
import type { RecalledAdvice } from "./types.ts";

/**
 * Maximum number of steps to recover. More are not started within the first
 * second.
 */
const MAX_RECOVERED_STEPS = 64;

/** Reads the cached advice on these steps from all instances. */
export type Recall = (
  steps: readonly string[],
) => Promise<readonly RecalledAdvice[]>;

/**
 * Adds the cached advice of all instances to the steps of the backlog. Until it
 * has arrived, no advice is requested about these steps.
 */
export async function recallAdvice(
  context: CellContext,
  readCaches: Recall,
): Promise<void> {
  const { clock, log, fence, open: backlog } = context;
  const steps = [...backlog]
    .filter((step) => queueOf(context, step.job).advice !== undefined)
    .slice(0, MAX_RECOVERED_STEPS);
  if (steps.length === 0) return;
  const byKey = new Map(steps.map((step) => [stepKey(step), step]));
  for (const step of steps) step.advice.asking++;
  const startedMs = clock.monotonic();
  const cachedAdvice = await readCaches([...byKey.keys()]);
  for (const step of steps) step.advice.asking--;
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
  context.kick();
}

/** Returns the number of verdicts. */
function merge(
  step: StepRun,
  { bad, good }: RecalledAdvice,
  nowMs: number,
): number {
  const { verdicts } = step.advice;
  for (const worker of bad) verdicts.set(worker, false);
  for (const { worker, ticket, ageMs } of good) {
    verdicts.set(worker, true);
    noteTicket(step, worker, { ticket, atMs: nowMs - ageMs });
  }
  return bad.length + good.length;
}
