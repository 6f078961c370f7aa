/**
 * `work list`: lists the team's submissions.
 *
 * @module
 */
import { reportValue } from "../report.ts";
import { keyOption, readAsTeam } from "../instances.ts";
import type { ToolCommand } from "../tool.ts";

/** Lists work. */
export const workListCommand: ToolCommand = {
  name: "work list",
  summary: "list the submissions of the team",
  example: "zinniapoint work list",
  options: [keyOption],
  run(tool, input) {
    return readAsTeam(tool, input, { path: "/v1/work" })
      .map(reportValue);
  },
};
