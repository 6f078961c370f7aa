/**
 * `work cancel ID`: cancels a submission.
 *
 * @module
 */
import { reportValue } from "../report.ts";
import { askAsTeam, decode, keyOption } from "../instances.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Cancels work. */
export const workCancelCommand: ToolCommand = {
  name: "work cancel",
  arguments: "<id>",
  summary: "cancel a submission",
  example: "zinniapoint work cancel w-1842",
  options: [keyOption],
  run(tool, input) {
    const id = encodeURIComponent(argument(input, 0));
    const path = `/v1/work/${id}/cancel`;
    return askAsTeam(tool, input, { method: "POST", path })
      .andThen(decode)
      .map(reportValue);
  },
};
