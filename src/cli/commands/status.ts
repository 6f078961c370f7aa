/**
 * `status`: shows the state of an instance and of the cell.
 *
 * @module
 */
import { getAsOperator } from "../instance_requests.ts";
import { reportValue } from "../report.ts";
import type { ToolCommand } from "../tool.ts";

/** Prints the status that an instance reports. */
export const statusCommand: ToolCommand = {
  name: "status",
  summary: "show the state of the cell as an instance sees it",
  example: "zinniapoint status",
  run: (tool) => getAsOperator(tool, "/v1/status").map(reportValue),
};
