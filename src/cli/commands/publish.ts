/**
 * `publish FILE`: checks an operator set and activates it.
 *
 * @module
 */
import { errAsync, ok, okAsync, type ResultAsync, safeTry } from "neverthrow";
import type { OperatorSet, Publication } from "../../operator_set.ts";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { checkFleetCapacity } from "../fleet_check.ts";
import { reportValue } from "../report.ts";
import { parseSet, publishText } from "../republish.ts";
import { baseOf, withBase, withoutBase } from "../set_edit.ts";
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

/** Publishes a set if it is based on the active publication, and updates the file's first line. */
export const publishCommand: ToolCommand = {
  name: "publish",
  arguments: "<file>",
  summary: "check a set and activate it",
  example: "zinniapoint publish set.ini",
  options: [
    {
      flags: "--base <number>",
      help:
        "publication that FILE was edited from, if its first line names none",
    },
    {
      flags: "--ignore-fleet",
      help: "publish even if workloads do not fit the current workers",
    },
  ],
  run(tool, input) {
    const file = argument(input, 0);
    return safeTry(async function* () {
      const text = yield* readText(tool, file);
      const set = yield* parseSet(text, file);
      const base = yield* readBase(input, text);
      if (!flag(input, "ignoreFleet")) {
        yield* checkFleetIfReachable(tool, set, { file });
      }
      const target = { tool, ...yield* openStore(tool) };
      const options = { text: withoutBase(text), base };
      const publication = yield* publishText(target, options);
      yield* writeBase(tool, file, { publication });
      return ok(reportValue(publishedFields(publication)));
    });
  },
};

function publishedFields({ number, operator, at }: Publication) {
  return { number, operator, at };
}

function readBase(
  input: CommandInput,
  text: string,
): ResultAsync<number, ToolFailure> {
  const given = option(input, "base");
  if (given === undefined) return okAsync(baseOf(text) ?? 0);
  if (/^\d+$/.test(given)) return okAsync(Number(given));
  return errAsync(usageFailure("--base must be the number of a publication"));
}

function checkFleetIfReachable(
  tool: ToolContext,
  set: OperatorSet,
  options: { readonly file: string },
): ResultAsync<void, ToolFailure> {
  return checkFleetCapacity(tool, set, options).orElse((failure) => {
    if (failure.type === "problems") return errAsync(failure);
    tool.host.err(`not checked against the fleet: ${failure.message}`);
    return okAsync(undefined);
  });
}

/** Rewrites the file as a copy of the new publication. The set is active even if this fails. */
function writeBase(
  tool: ToolContext,
  file: string,
  options: { readonly publication: Publication },
): ResultAsync<void, never> {
  const { number, text } = options.publication;
  return tool.host.writeFile(file, withBase(text, number)).orElse((failure) => {
    tool.host.err(
      `${file} still names an earlier publication: ${failure.message}`,
    );
    return okAsync(undefined);
  });
}
