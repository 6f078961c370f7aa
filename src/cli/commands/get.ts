/**
 * `get`: prints the set in force.
 *
 * @module
 */
import { err, ok, okAsync, type ResultAsync, safeTry } from "neverthrow";
import { readPast, readPublication } from "../../configuration/publication.ts";
import type { Publication } from "../../operator_set.ts";
import type { ToolFailure } from "../failures.ts";
import { usageFailure } from "../failures.ts";
import type { Report } from "../report.ts";
import { withBase } from "../set_edit.ts";
import { option, storeOf, type ToolCommand } from "../tool.ts";

/** Prints the set in force, or an earlier one. */
export const getCommand: ToolCommand = {
  name: "get",
  summary: "print the set in force, ready to be edited",
  example: "zinniapoint get --output set.ini",
  options: [
    { flags: "--number <number>", help: "an earlier publication instead" },
    { flags: "--output <file>", help: "write it to a file" },
  ],
  run(tool, input) {
    const output = option(input, "output");
    return safeTry(async function* () {
      const number = Number(option(input, "number") ?? 0);
      if (!Number.isSafeInteger(number)) return err(notANumber);
      const { store } = yield* storeOf(tool);
      const found = number === 0
        ? yield* readPublication(store)
        : yield* readPast(store, number);
      if (found === undefined) return err(nothingPublished);
      const copy = withBase(found.text, found.number);
      yield* write(output, (file) => tool.host.writeFile(file, copy));
      return ok(report(found, { copy, output }));
    });
  },
};

const notANumber = usageFailure(
  "--number must be the number of a publication",
);

const nothingPublished: ToolFailure = {
  type: "objectState",
  message: "there is no such publication",
};

function write(
  output: string | undefined,
  writeFile: (file: string) => ResultAsync<void, ToolFailure>,
): ResultAsync<void, ToolFailure> {
  return output === undefined ? okAsync(undefined) : writeFile(output);
}

function report(
  publication: Publication,
  made: { readonly copy: string; readonly output: string | undefined },
): Report {
  const { copy, output } = made;
  const written = `publication ${publication.number} written to ${output}`;
  return {
    json: publication,
    text: output === undefined ? copy.trimEnd() : written,
  };
}
