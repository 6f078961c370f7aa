/**
 * Finds the answers of the advice service that a former holder had got.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import { queueOf } from "./context.ts";
import { stepKey, type StepRun } from "./job.ts";
import type { RecalledAdvice } from "./types.ts";

/** Steps that are asked about at most: more are not started in the first second. */
const MAX_STEPS = 64;

/** Asks the other instances for what they know of steps. */
export type Recall = (
  steps: readonly string[],
) => Promise<readonly RecalledAdvice[]>;

/** Takes up what other instances know; no new question about these steps is asked meanwhile. */
export async function recallAdvice(
  context: CellContext,
  recall: Recall,
): Promise<void> {
  const { clock, log, fence, open } = context;
  const steps = [...open]
    .filter((step) => queueOf(context, step.job).advice !== undefined)
    .slice(0, MAX_STEPS);
  if (steps.length === 0) return;
  const byKey = new Map(steps.map((step) => [stepKey(step), step]));
  for (const step of steps) step.advice.asking = true;
  const startedMs = clock.monotonic();
  const answers = await recall([...byKey.keys()]);
  for (const step of steps) step.advice.asking = false;
  let verdicts = 0;
  for (const answer of answers) {
    const step = byKey.get(answer.step);
    if (step !== undefined) verdicts += take(step, answer, clock.monotonic());
  }
  log.info("advice.recalled", {
    fence,
    steps: steps.length,
    verdicts,
    tookMs: Math.round(clock.monotonic() - startedMs),
  });
  context.kick();
}

/** Gives the number of verdicts. */
function take(
  { advice }: StepRun,
  { bad, good }: RecalledAdvice,
  nowMs: number,
): number {
  for (const worker of bad) advice.verdicts.set(worker, false);
  for (const { worker, ticket, ageMs } of good) {
    advice.verdicts.set(worker, true);
    const atMs = nowMs - ageMs;
    const newer = (advice.tickets.get(worker)?.atMs ?? -Infinity) > atMs;
    if (!newer) advice.tickets.set(worker, { ticket, atMs });
  }
  return bad.length + good.length;
}
