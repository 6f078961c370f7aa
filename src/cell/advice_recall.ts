/**
 * Finds the answers of the advice service that a former holder had got.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import { queueOf } from "./context.ts";
import { noteTicket, stepKey, type StepRun } from "./job.ts";
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
  for (const step of steps) step.advice.asking++;
  const startedMs = clock.monotonic();
  const answers = await recall([...byKey.keys()]);
  for (const step of steps) step.advice.asking--;
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
