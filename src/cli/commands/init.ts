/**
 * `init`: writes a settings file and an operator set to start from.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { errAsync, ok, safeTry } from "neverthrow";
import { type ToolFailure, usageFailure } from "../failures.ts";
import { reportValue } from "../report.ts";
import { starterSet, starterSettings } from "../starter_files.ts";
import { flag, type ToolCommand } from "../tool.ts";

const SET_FILE = "set.ini";
const SECRET_BYTES = 24;

/** Writes both files; overwrites existing ones only with `--force`. */
export const initCommand: ToolCommand = {
  name: "init",
  summary: "write a settings file and a set to start from",
  example: "zinniapoint init",
  options: [{ flags: "--force", help: "overwrite existing files" }],
  run(tool, input) {
    const { host, settingsFile } = tool;
    const files = [settingsFile, SET_FILE];
    const present = files.filter((file) => host.exists(file));
    if (present.length > 0 && !flag(input, "force")) {
      const message = `${present.join(" and ")} would be overwritten`;
      return errAsync(usageFailure(`${message}; use --force`));
    }
    return safeTry<ReturnType<typeof reportValue>, ToolFailure>(
      async function* () {
        yield* host.writeFile(settingsFile, starterSettings(newSecret));
        yield* host.writeFile(SET_FILE, starterSet);
        return ok(reportValue({ written: files }));
      },
    );
  },
};

function newSecret(): string {
  return randomBytes(SECRET_BYTES).toString("base64url");
}
