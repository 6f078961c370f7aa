/**
 * `status`: shows how an instance and the cell are.
 *
 * @module
 */
import { askAsOperator } from "../instances.ts";
import { reportValue } from "../report.ts";
import type { ToolCommand } from "../tool.ts";

/** Shows the status. */
export const statusCommand: ToolCommand = {
  name: "status",
  summary: "show the state of the cell as an instance sees it",
  example: "zinniapoint status",
  run: (tool) => askAsOperator(tool, "/v1/status").map(reportValue),
};
