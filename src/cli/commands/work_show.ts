/**
 * `work show ID`: shows one submission.
 *
 * @module
 */
import { reportValue } from "../report.ts";
import { getAsTeam, keyOption } from "../instance_requests.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Prints the state of a submission and of its tasks. */
export const workShowCommand: ToolCommand = {
  name: "work show",
  arguments: "<id>",
  summary: "show one submission and its tasks",
  example: "zinniapoint work show w-1842",
  options: [keyOption],
  run(tool, input) {
    const path = `/v1/work/${encodeURIComponent(argument(input, 0))}`;
    return getAsTeam(tool, input, { path })
      .map(reportValue);
  },
};
