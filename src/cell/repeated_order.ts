/**
 * Orders whose answer was lost, given again.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import type { Run } from "./fleet.ts";
import { isOver } from "./job.ts";
import type { StartAnswer } from "./ports.ts";

/** An order without an answer is given again so often: of twenty answers one or two are lost on bad days. */
const MOST_REPEATED = 2;

/** Whether a run still holds its room and is not to end. */
export function isWanted(run: Run): boolean {
  return run.worker.runs.get(run.task.id) === run && !run.stopping;
}

/**
 * Repeats a start whose answer was lost: a worker that has carried it out says
 * so again. A refusal tells nothing of the first sending, which may still be
 * carried out, so that the order stays unknown.
 */
export async function repeatOrder(
  { clock, holds, lostAnswers, evacuations }: CellContext,
  { run, start }: {
    readonly run: Run;
    /** Gives the order. Never rejects. */
    readonly start: () => Promise<StartAnswer>;
  },
): Promise<StartAnswer> {
  const { worker, step } = run;
  let answer: StartAnswer = { type: "unknown", message: "no answer" };
  worker.unanswered++;
  for (let repeated = 0; repeated < MOST_REPEATED; repeated++) {
    if (!isWanted(run) || isOver(step.job) || !holds()) break;
    if (evacuations.has(worker.entry?.zone ?? "")) break;
    answer = await start();
    if (answer.type === "started" || answer.type === "rejected") {
      lostAnswers.note(clock.monotonic());
      break;
    }
  }
  worker.unanswered--;
  if (answer.type === "started") return answer;
  if (answer.type === "rejected" && answer.reason === "fenced") return answer;
  return { type: "unknown", message: "no answer to the first sending" };
}
