/**
 * `check FILE`: checks an operator set without publishing it.
 *
 * @module
 */
import { ok, okAsync, type ResultAsync, safeTry } from "neverthrow";
import { readPublication } from "../../configuration/publication.ts";
import type { OperatorSet } from "../../operator_set.ts";
import { auditSet, type Finding } from "../../operator_set/audit.ts";
import { compareOperatorSets, type Difference } from "../set_difference.ts";
import type { ToolFailure } from "../failures.ts";
import { checkFleetCapacity } from "../fleet_check.ts";
import { parseSet } from "../republish.ts";
import { formatTable, type Report } from "../report.ts";
import {
  argument,
  type CommandInput,
  flag,
  openStore,
  option,
  readText,
  type ToolCommand,
  type ToolContext,
} from "../tool.ts";
import { summarize } from "../set_summary.ts";

/** Checks a set, counts its objects and lists findings and, on request, differences. */
export const checkCommand: ToolCommand = {
  name: "check",
  arguments: "<file>",
  summary: "check a set without publishing it",
  example: "zinniapoint check set.ini --against-published",
  options: [
    { flags: "--fleet", help: "also check that the workloads fit the workers" },
    {
      flags: "--against <file>",
      help: "also list the differences from a file",
    },
    {
      flags: "--against-published",
      help: "also list the differences from the active set",
    },
  ],
  run(tool, input) {
    return safeTry(async function* () {
      const file = argument(input, 0);
      const text = yield* readText(tool, file);
      const set = yield* parseSet(text, file);
      if (flag(input, "fleet")) yield* checkFleetCapacity(tool, set, { file });
      const base = yield* readBase(tool, input);
      return ok(reportOf(set, {
        findings: [...auditSet(set)],
        differences: base === undefined
          ? undefined
          : compareOperatorSets(base, text),
      }));
    });
  },
};

/** The text to compare with; `undefined` if no comparison is requested. */
function readBase(
  tool: ToolContext,
  input: CommandInput,
): ResultAsync<string | undefined, ToolFailure> {
  const file = option(input, "against");
  if (file !== undefined) return readText(tool, file);
  if (!flag(input, "againstPublished")) return okAsync(undefined);
  return openStore(tool)
    .andThen(({ store }) => readPublication(store))
    .map((publication) => publication?.text ?? "");
}

function reportOf(
  set: OperatorSet,
  { findings, differences }: {
    readonly findings: readonly Finding[];
    readonly differences: readonly Difference[] | undefined;
  },
): Report {
  const counts = summarize(set);
  const tables = [
    ...(findings.length === 0 ? [] : [formatSection("findings", findings)]),
    ...(differences === undefined
      ? []
      : [formatSection("differences", differences)]),
  ];
  return {
    json: {
      ...counts.json as Record<string, unknown>,
      findings,
      ...(differences === undefined ? {} : { differences }),
    },
    text: [counts.text, ...tables].join("\n"),
  };
}

function formatSection(name: string, rows: readonly object[]): string {
  return `${name}:\n${formatTable(rows.map((row) => ({ ...row })))}`;
}
