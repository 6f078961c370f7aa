/**
 * `check FILE`: checks a set without publishing it.
 *
 * @module
 */
import { ok } from "neverthrow";
import { checkFleet } from "../fleet.ts";
import { check } from "../republish.ts";
import { argument, flag, readText, type ToolCommand } from "../tool.ts";
import { summarize } from "../summary.ts";

/** Checks a set. */
export const checkCommand: ToolCommand = {
  name: "check",
  arguments: "<file>",
  summary: "check a set without publishing it",
  example: "zinniapoint check set.ini --fleet",
  options: [
    { flags: "--fleet", help: "also check against the workers of the fleet" },
  ],
  run(tool, input) {
    const file = argument(input, 0);
    return readText(tool, file)
      .andThen((text) => check(text, file))
      .andThen((set) =>
        flag(input, "fleet")
          ? checkFleet(tool, set, { file }).map(() => set)
          : ok(set)
      )
      .map(summarize);
  },
};
