/**
 * `get`: prints the active operator set.
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
import { openStore, option, type ToolCommand } from "../tool.ts";

/** Prints the active set or an earlier publication, with its number in the first line. */
export const getCommand: ToolCommand = {
  name: "get",
  summary: "print the active set, ready to be edited",
  example: "zinniapoint get --output set.ini",
  options: [
    {
      flags: "--number <number>",
      help: "print an earlier publication instead",
    },
    { flags: "--output <file>", help: "write the set to a file" },
  ],
  run(tool, input) {
    const output = option(input, "output");
    return safeTry(async function* () {
      const number = Number(option(input, "number") ?? 0);
      if (!Number.isSafeInteger(number)) return err(notANumber);
      const { store } = yield* openStore(tool);
      const found = number === 0
        ? yield* readPublication(store)
        : yield* readPast(store, number);
      if (found === undefined) return err(nothingPublished);
      const copy = withBase(found.text, found.number);
      yield* writeIfRequested(
        output,
        (file) => tool.host.writeFile(file, copy),
      );
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

function writeIfRequested(
  output: string | undefined,
  writeFile: (file: string) => ResultAsync<void, ToolFailure>,
): ResultAsync<void, ToolFailure> {
  return output === undefined ? okAsync(undefined) : writeFile(output);
}

function report(
  publication: Publication,
  result: { readonly copy: string; readonly output: string | undefined },
): Report {
  const { copy, output } = result;
  const written = `publication ${publication.number} written to ${output}`;
  return {
    json: publication,
    text: output === undefined ? copy.trimEnd() : written,
  };
}
