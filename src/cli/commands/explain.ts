/**
 * `explain`: says why work waits, was refused or was placed.
 *
 * @module
 */
import { errAsync } from "neverthrow";
import { usageFailure } from "../failures.ts";
import { askAsOperator } from "../instances.ts";
import { reportValue } from "../report.ts";
import { type Input, option, type ToolCommand } from "../tool.ts";

/** Explains one submission, a team or a workload. */
export const explainCommand: ToolCommand = {
  name: "explain",
  arguments: "[id]",
  summary: "say why work waits, was refused or was placed",
  example: "zinniapoint explain --team shops",
  options: [
    { flags: "--team <team>", help: "a team instead of one submission" },
    { flags: "--workload <workload>", help: "a workload instead" },
  ],
  run(tool, input) {
    const query = new URLSearchParams(subjects(input));
    if (query.size !== 1) return errAsync(oneSubject);
    return askAsOperator(tool, `/v1/explain?${query}`).map(reportValue);
  },
};

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
