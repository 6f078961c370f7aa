/**
 * Waits for the end of submitted work.
 *
 * @module
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import type { WorkStatus } from "../journal/work_state.ts";
import type { ToolFailure } from "./failures.ts";
import { readAsTeam } from "./instances.ts";
import type { Input, Tool } from "./tool.ts";

const POLL_MS = 1_000;
/** Polls in a row that may fail. */
const FAILED_POLLS = 30;

/** Statuses of work that has not ended. */
const LIVE_STATUSES: readonly WorkStatus[] = ["waiting", "running"];
/** Status of work whose tasks have all succeeded. */
const SUCCESS: WorkStatus = "finished";

interface WorkView {
  readonly id?: unknown;
  readonly status?: WorkStatus;
}

/** Polls until work has ended; progress goes to standard error. */
export function waitForWork(
  tool: Tool,
  input: Input,
  options: { readonly submitted: unknown },
): ResultAsync<unknown, ToolFailure> {
  const { id } = options.submitted as WorkView;
  return new ResultAsync(poll(tool, input, { id: String(id) }));
}

async function poll(
  tool: Tool,
  input: Input,
  options: { readonly id: string },
): Promise<Result<unknown, ToolFailure>> {
  const { id } = options;
  const path = `/v1/work/${encodeURIComponent(id)}`;
  let shown: unknown;
  for (let failures = 0;;) {
    const view = await readAsTeam(tool, input, { path });
    if (view.isErr() && ++failures > FAILED_POLLS) return err(view.error);
    if (view.isOk()) {
      failures = 0;
      const { status } = view.value as WorkView;
      if (!LIVE_STATUSES.some((live) => live === status)) {
        return end(view.value, id);
      }
      if (status !== shown) tool.host.err(`work ${id} is ${status}`);
      shown = status;
    }
    await sleep(tool.host.clock, POLL_MS);
  }
}

function end(view: unknown, id: string): Result<unknown, ToolFailure> {
  const { status } = view as WorkView;
  if (status === SUCCESS) return ok(view);
  const message = `work ${id} is ${status}`;
  return err({ type: "workFailed", message, status: String(status) });
}
