/**
 * `work cancel`: cancels one submission or all submissions of a workload.
 *
 * @module
 */
import { errAsync } from "neverthrow";
import { usageFailure } from "../failures.ts";
import { decodeJson, keyOption, sendAsTeam } from "../instance_requests.ts";
import { reportValue } from "../report.ts";
import { type CommandInput, option, type ToolCommand } from "../tool.ts";

/** Cancels one submission or, with `--workload`, all of the team's for a workload. */
export const workCancelCommand: ToolCommand = {
  name: "work cancel",
  arguments: "[id]",
  summary: "cancel one submission or all submissions of a workload",
  example: "zinniapoint work cancel w-1842",
  options: [
    {
      flags: "--workload <workload>",
      help: "cancel all submissions of a workload",
    },
    keyOption,
  ],
  run(tool, input) {
    const path = pathOf(input);
    if (path === undefined) return errAsync(subjectRequired);
    return sendAsTeam(tool, input, { method: "POST", path })
      .andThen(decodeJson)
      .map(reportValue);
  },
};

const subjectRequired = usageFailure("give either ID or --workload");

function pathOf(input: CommandInput): string | undefined {
  const [id] = input.arguments;
  const workload = option(input, "workload");
  if ((id === undefined) === (workload === undefined)) return undefined;
  if (id !== undefined) return `/v1/work/${encodeURIComponent(id)}/cancel`;
  return `/v1/work/cancel?${new URLSearchParams({ workload: workload! })}`;
}
