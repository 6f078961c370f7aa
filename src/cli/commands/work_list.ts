/**
 * `work list`: lists the team's submissions.
 *
 * @module
 */
import { reportValue } from "../report.ts";
import { getAsTeam, keyOption } from "../instance_requests.ts";
import type { ToolCommand } from "../tool.ts";

/** Lists the submissions of the team that the key belongs to. */
export const workListCommand: ToolCommand = {
  name: "work list",
  summary: "list the submissions of the team",
  example: "zinniapoint work list",
  options: [keyOption],
  run(tool, input) {
    return getAsTeam(tool, input, { path: "/v1/work" })
      .map(reportValue);
  },
};
