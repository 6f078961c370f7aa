/**
 * Retries start requests whose response was lost.
 *
 * @module
 */
import type { CellContext } from "./context.ts";
import type { Run } from "./fleet.ts";
import { isFinished } from "./job.ts";
import type { StartResponse } from "./ports.ts";

/**
 * Maximum number of retries. On a bad network, one or two of twenty responses
 * are lost.
 */
const MAX_RETRIES = 2;

/** Whether a run still has its capacity and is not to be stopped. */
export function isActive(run: Run): boolean {
  return run.worker.runs.get(run.task.id) === run && !run.stopping;
}

/**
 * Retries a start request whose response was lost. If the worker has already
 * started the run, it confirms that again. If it rejects the retry, it may still
 * carry out the first request, so the outcome stays unknown.
 */
export async function retryStart(
  { clock, isLeading, lostAnswers, evacuations }: CellContext,
  { run, start }: {
    readonly run: Run;
    /** Sends the start request. Never rejects. */
    readonly start: () => Promise<StartResponse>;
  },
): Promise<StartResponse> {
  const { worker, step } = run;
  let result: StartResponse = { type: "unknown", message: "no response" };
  worker.unansweredStarts++;
  for (let retry = 0; retry < MAX_RETRIES; retry++) {
    if (!isActive(run) || isFinished(step.job) || !isLeading()) break;
    if (evacuations.has(worker.entry?.zone ?? "")) break;
    result = await start();
    if (result.type === "started" || result.type === "rejected") {
      lostAnswers.recordLoss(clock.monotonic());
      break;
    }
  }
  worker.unansweredStarts--;
  if (result.type === "started") return result;
  if (result.type === "rejected" && result.reason === "fenced") return result;
  return { type: "unknown", message: "no response to the first request" };
}
