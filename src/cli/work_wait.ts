/**
 * Waits until submitted work has ended.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { WorkStatus } from "../journal/work_state.ts";
import type { ToolFailure } from "./failures.ts";
import { getAsTeam } from "./instance_requests.ts";
import type { CommandInput, ToolContext } from "./tool.ts";

const POLL_INTERVAL_MS = 1_000;
/** Consecutive polls that may fail before the wait is aborted. */
const MAX_FAILED_POLLS = 30;

/** Statuses of work that has not ended yet. */
const UNFINISHED_STATUSES: readonly WorkStatus[] = ["waiting", "running"];
/** Status of work of which every task has succeeded. */
const SUCCEEDED_STATUS: WorkStatus = "finished";

/** The parts of an instance's view of submitted work that are used here. */
interface WorkView {
  readonly id?: unknown;
  readonly status?: WorkStatus;
}

/**
 * Polls until the work has ended and returns its last view. Prints changes of
 * its status to standard error. Fails unless the work has succeeded.
 */
export function waitForWork(
  tool: ToolContext,
  input: CommandInput,
  options: { readonly submitted: unknown },
): ResultAsync<unknown, ToolFailure> {
  const { id } = options.submitted as WorkView;
  return new ResultAsync(pollUntilEnd(tool, input, { id: String(id) }));
}

async function pollUntilEnd(
  tool: ToolContext,
  input: CommandInput,
  options: { readonly id: string },
): Promise<Result<unknown, ToolFailure>> {
  const { id } = options;
  const path = `/v1/work/${encodeURIComponent(id)}`;
  let printedStatus: unknown;
  for (let failures = 0;;) {
    const view = await getAsTeam(tool, input, { path });
    if (view.isErr() && ++failures > MAX_FAILED_POLLS) return err(view.error);
    if (view.isOk()) {
      failures = 0;
      const { status } = view.value as WorkView;
      if (!UNFINISHED_STATUSES.some((unfinished) => unfinished === status)) {
        return toResult(view.value, id);
      }
      if (status !== printedStatus) tool.host.err(`work ${id} is ${status}`);
      printedStatus = status;
    }
    await sleep(tool.host.clock, POLL_INTERVAL_MS);
  }
}

function toResult(view: unknown, id: string): Result<unknown, ToolFailure> {
  const { status } = view as WorkView;
  if (status === SUCCEEDED_STATUS) return ok(view);
  const message = `work ${id} is ${status}`;
  return err({ type: "workFailed", message, status: String(status) });
}
