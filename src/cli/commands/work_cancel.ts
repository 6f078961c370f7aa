/**
 * `work cancel`: cancels a submission, or all of a workload.
 *
 * @module
 */
import { errAsync } from "neverthrow";
import { usageFailure } from "../failures.ts";
import { askAsTeam, decode, keyOption } from "../instances.ts";
import { reportValue } from "../report.ts";
import { type Input, option, type ToolCommand } from "../tool.ts";

/** Cancels work. */
export const workCancelCommand: ToolCommand = {
  name: "work cancel",
  arguments: "[id]",
  summary: "cancel a submission, or all of a workload",
  example: "zinniapoint work cancel w-1842",
  options: [
    { flags: "--workload <workload>", help: "all submissions of a workload" },
    keyOption,
  ],
  run(tool, input) {
    const path = pathOf(input);
    if (path === undefined) return errAsync(oneSubject);
    return askAsTeam(tool, input, { method: "POST", path })
      .andThen(decode)
      .map(reportValue);
  },
};

const oneSubject = usageFailure("give either ID or --workload");

function pathOf(input: Input): string | undefined {
  const [id] = input.arguments;
  const workload = option(input, "workload");
  if ((id === undefined) === (workload === undefined)) return undefined;
  if (id !== undefined) return `/v1/work/${encodeURIComponent(id)}/cancel`;
  return `/v1/work/cancel?${new URLSearchParams({ workload: workload! })}`;
}
