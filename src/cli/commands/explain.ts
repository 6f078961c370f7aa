/**
 * `explain`: explains why work is waiting, was rejected or was placed.
 *
 * @module
 */
import { errAsync, ResultAsync } from "neverthrow";
import { parseLogLine, timelineOf } from "../../log_analysis/job_timeline.ts";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { getAsOperator } from "../instance_requests.ts";
import { type Report, reportValue } from "../report.ts";
import {
  type CommandInput,
  option,
  optionList,
  readText,
  type ToolCommand,
  type ToolContext,
} from "../tool.ts";

/**
 * Asks an instance to explain a submission, a team or a workload, or prints the
 * timeline of one job from log files.
 */
export const explainCommand: ToolCommand = {
  name: "explain",
  arguments: "[id]",
  summary: "explain why work is waiting, was rejected or was placed",
  example: "zinniapoint explain --team shops",
  options: [
    {
      flags: "--team <team>",
      help: "explain a team instead of one submission",
    },
    { flags: "--workload <workload>", help: "explain a workload instead" },
    {
      flags: "--logs <file...>",
      help: "print the timeline of job ID from log files, without an instance",
    },
  ],
  run(tool, input) {
    const files = optionList(input, "logs");
    const [job] = input.arguments;
    if (files.length > 0 && job !== undefined) {
      return explainFromLogs(tool, files, job);
    }
    const query = new URLSearchParams(queryParameters(input));
    if (query.size !== 1) return errAsync(subjectRequired);
    return getAsOperator(tool, `/v1/explain?${query}`).map(reportValue);
  },
};

function explainFromLogs(
  tool: ToolContext,
  files: readonly string[],
  job: string,
): ResultAsync<Report, ToolFailure> {
  return ResultAsync.combine(files.map((file) => readText(tool, file)))
    .map((texts) => {
      const lines = texts.flatMap((text) =>
        text.split("\n").flatMap((line) => parseLogLine(line) ?? [])
      );
      const rows = timelineOf(lines, job).map((
        { time, node, event, fields },
      ) => ({
        time: time.slice(11),
        node,
        event,
        what: Object.entries(fields)
          .filter(([name]) => name !== "job")
          .map(([name, value]) => `${name}=${value}`)
          .join(" "),
      }));
      return reportValue(rows);
    });
}

const subjectRequired = usageFailure(
  "give exactly one of ID, --team or --workload",
);

/** Query parameters that name the given subjects. */
function queryParameters(input: CommandInput): [string, string][] {
  const subjects = {
    work: input.arguments[0],
    team: option(input, "team"),
    workload: option(input, "workload"),
  };
  return Object.entries(subjects).flatMap(([name, value]) =>
    value === undefined ? [] : [[name, value]]
  );
}
