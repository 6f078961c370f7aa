/**
 * Sends start requests, and retries those whose response was lost.
 *
 * @module
 */
import { describeThrown } from "../errors.ts";
import type { Timer } from "../clock.ts";
import type { CellContext } from "./context.ts";
import type { Run } from "./fleet.ts";
import { isFinished } from "./job.ts";
import type { StartRequest, StartResponse, WorkerAddress } from "./ports.ts";

/**
 * Maximum number of retries. On a bad network, one or two of twenty responses
 * are lost.
 */
const MAX_RETRIES = 2;
/**
 * Time after which a start request counts as unanswered whatever its client
 * does: three times the client's own timeout.
 */
const MAX_START_MS = 500;

/** Whether a run still has its capacity and is not to be stopped. */
export function isActive(run: Run): boolean {
  return run.worker.runs.get(run.task.id) === run && !run.stopping;
}

/**
 * Sends a start request once. Never rejects and always resolves: the outcome is
 * unknown if the client fails or does not respond.
 */
export async function sendStart(
  { clock, workerClient, log, fence }: CellContext,
  address: WorkerAddress,
  request: StartRequest,
): Promise<StartResponse> {
  let timer: Timer | undefined;
  const overdue = new Promise<StartResponse>((resolve) => {
    timer = clock.after(
      MAX_START_MS,
      () =>
        resolve({ type: "unknown", message: "no response from the client" }),
    );
  });
  try {
    return await Promise.race([workerClient.start(address, request), overdue]);
  } catch (error) {
    const reason = describeThrown(error);
    log.error("start.failed", { worker: address.id, fence, reason });
    return { type: "unknown", message: "the client has failed" };
  } finally {
    timer?.cancel();
  }
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
    /** Sends the start request; see {@linkcode sendStart}. */
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
