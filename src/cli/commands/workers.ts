/**
 * `workers`: lists the workers.
 *
 * @module
 */
import { WORKERS_PATH } from "../fleet.ts";
import { askAsOperator } from "../instances.ts";
import { reportValue } from "../report.ts";
import type { ToolCommand } from "../tool.ts";

/** Lists workers with their room and state. */
export const workersCommand: ToolCommand = {
  name: "workers",
  summary: "list the workers with their room and state",
  example: "zinniapoint workers",
  run: (tool) => askAsOperator(tool, WORKERS_PATH).map(reportValue),
};
