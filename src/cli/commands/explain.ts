/**
 * `explain`: says why work waits, was refused or was placed.
 *
 * @module
 */
import { errAsync, ResultAsync } from "neverthrow";
import { parseLogLine, storyOf } from "../../story/story.ts";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { askAsOperator } from "../instances.ts";
import { type Report, reportValue } from "../report.ts";
import {
  type Input,
  option,
  optionList,
  readText,
  type Tool,
  type ToolCommand,
} from "../tool.ts";

/** Explains one submission, a team or a workload. */
export const explainCommand: ToolCommand = {
  name: "explain",
  arguments: "[id]",
  summary: "say why work waits, was refused or was placed",
  example: "zinniapoint explain --team shops",
  options: [
    { flags: "--team <team>", help: "a team instead of one submission" },
    { flags: "--workload <workload>", help: "a workload instead" },
    {
      flags: "--logs <file...>",
      help: "tell one job's story from logs of instances instead of asking",
    },
  ],
  run(tool, input) {
    const files = optionList(input, "logs");
    const [job] = input.arguments;
    if (files.length > 0 && job !== undefined) {
      return explainFromLogs(tool, files, job);
    }
    const query = new URLSearchParams(subjects(input));
    if (query.size !== 1) return errAsync(oneSubject);
    return askAsOperator(tool, `/v1/explain?${query}`).map(reportValue);
  },
};

function explainFromLogs(
  tool: Tool,
  files: readonly string[],
  job: string,
): ResultAsync<Report, ToolFailure> {
  return ResultAsync.combine(files.map((file) => readText(tool, file)))
    .map((texts) => {
      const lines = texts.flatMap((text) =>
        text.split("\n").flatMap((line) => parseLogLine(line) ?? [])
      );
      const rows = storyOf(lines, job).map(({ time, node, event, fields }) => ({
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

const oneSubject = usageFailure("give one of ID, --team or --workload");

function subjects(input: Input): [string, string][] {
  const asked = {
    work: input.arguments[0],
    team: option(input, "team"),
    workload: option(input, "workload"),
  };
  return Object.entries(asked).flatMap(([name, value]) =>
    value === undefined ? [] : [[name, value]]
  );
}
