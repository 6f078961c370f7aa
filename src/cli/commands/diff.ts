/**
 * `diff FILE`: shows what publishing an operator set would change.
 *
 * @module
 */
import { ok, safeTry } from "neverthrow";
import { readPublication } from "../../configuration/publication.ts";
import { compareOperatorSets, type Difference } from "../set_difference.ts";
import { formatTable } from "../report.ts";
import { argument, openStore, readText, type ToolCommand } from "../tool.ts";

/** Compares a set with the active one. */
export const diffCommand: ToolCommand = {
  name: "diff",
  arguments: "<file>",
  summary: "show what publishing a set would change",
  example: "zinniapoint diff set.ini",
  run(tool, input) {
    return safeTry(async function* () {
      const text = yield* readText(tool, argument(input, 0));
      const { store } = yield* openStore(tool);
      const publication = yield* readPublication(store);
      const differences = compareOperatorSets(publication?.text ?? "", text);
      const number = publication?.number ?? 0;
      return ok({
        json: { number, differences },
        text: formatDifferences(differences),
      });
    });
  },
};

function formatDifferences(differences: readonly Difference[]): string {
  if (differences.length === 0) return "no change";
  return formatTable(differences.map((difference) => ({ ...difference })));
}
