/**
 * `workers`: lists the workers.
 *
 * @module
 */
import { WORKERS_PATH } from "../fleet_check.ts";
import { getAsOperator } from "../instance_requests.ts";
import { reportValue } from "../report.ts";
import type { ToolCommand } from "../tool.ts";

/** Lists workers with their capacity and state. */
export const workersCommand: ToolCommand = {
  name: "workers",
  summary: "list the workers with their capacity and state",
  example: "zinniapoint workers",
  run: (tool) => getAsOperator(tool, WORKERS_PATH).map(reportValue),
};
