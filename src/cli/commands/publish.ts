/**
 * `publish FILE`: checks a set and puts it into force.
 *
 * @module
 */
import { errAsync, ok, okAsync, type ResultAsync, safeTry } from "neverthrow";
import type { OperatorSet, Publication } from "../../operator_set.ts";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { checkFleet } from "../fleet.ts";
import { reportValue } from "../report.ts";
import { check, publishText } from "../republish.ts";
import { baseOf, withBase, withoutBase } from "../set_edit.ts";
import {
  argument,
  flag,
  type Input,
  option,
  readText,
  storeOf,
  type Tool,
  type ToolCommand,
} from "../tool.ts";

/** Publishes a set. */
export const publishCommand: ToolCommand = {
  name: "publish",
  arguments: "<file>",
  summary: "check a set and put it into force",
  example: "zinniapoint publish set.ini",
  options: [
    {
      flags: "--base <number>",
      help:
        "publication that FILE was made from, if its first line does not say",
    },
    {
      flags: "--ignore-fleet",
      help: "publish even what does not fit the workers of today",
    },
  ],
  run(tool, input) {
    const file = argument(input, 0);
    return safeTry(async function* () {
      const text = yield* readText(tool, file);
      const set = yield* check(text, file);
      const base = yield* readBase(input, text);
      if (!flag(input, "ignoreFleet")) {
        yield* checkFleetIfReachable(tool, set, { file });
      }
      const target = { tool, ...yield* storeOf(tool) };
      const options = { text: withoutBase(text), base };
      const publication = yield* publishText(target, options);
      yield* noteBase(tool, file, { publication });
      return ok(reportValue(describe(publication)));
    });
  },
};

function describe({ number, operator, at }: Publication) {
  return { number, operator, at };
}

function readBase(
  input: Input,
  text: string,
): ResultAsync<number, ToolFailure> {
  const given = option(input, "base");
  if (given === undefined) return okAsync(baseOf(text) ?? 0);
  if (/^\d+$/.test(given)) return okAsync(Number(given));
  return errAsync(usageFailure("--base must be the number of a publication"));
}

function checkFleetIfReachable(
  tool: Tool,
  set: OperatorSet,
  options: { readonly file: string },
): ResultAsync<void, ToolFailure> {
  return checkFleet(tool, set, options).orElse((failure) => {
    if (failure.type === "problems") return errAsync(failure);
    tool.host.err(`not checked against the fleet: ${failure.message}`);
    return okAsync(undefined);
  });
}

/** Makes the file a copy of the new publication; the set is in force even if this fails. */
function noteBase(
  tool: Tool,
  file: string,
  options: { readonly publication: Publication },
): ResultAsync<void, never> {
  const { number, text } = options.publication;
  return tool.host.writeFile(file, withBase(text, number)).orElse((failure) => {
    tool.host.err(`${file} still names an earlier one: ${failure.message}`);
    return okAsync(undefined);
  });
}
