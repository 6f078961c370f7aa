/**
 * `key issue NAME`: creates a key for a team and publishes its hash.
 *
 * @module
 */
import { err, errAsync, ok } from "neverthrow";
import { NAME_PATTERN } from "../../ini/units.ts";
import { issueKey } from "../../operator_set/keys.ts";
import { usageFailure } from "../failures.ts";
import { republish } from "../republish.ts";
import { addObject, hasObject } from "../set_edit.ts";
import { argument, option, type ToolCommand } from "../tool.ts";

/** Issues a key. Only its hash is published; the secret is printed once and cannot be read back. */
export const keyIssueCommand: ToolCommand = {
  name: "key issue",
  arguments: "<name>",
  summary: "create a key for a team and publish it; prints the secret once",
  example: "zinniapoint key issue counter-12 --team shops",
  options: [
    { flags: "--team <team>", help: "team of the key", required: true },
  ],
  run(tool, input) {
    const name = argument(input, 0);
    const team = option(input, "team") ?? "";
    if (!NAME_PATTERN.test(name)) return errAsync(badName);
    const { key, presented } = issueKey(name, team);
    const { salt, hash } = key;
    const object = `key ${name}`;
    return republish(tool, (text) => {
      if (hasObject(text, object)) {
        const message = `key ${name} already exists`;
        return err({ type: "objectState", message });
      }
      const fields = [["team", team], ["salt", salt], ["hash", hash]] as const;
      return ok(addObject(text, object, { fields }));
    }).map(({ number }) => ({
      json: { name, team, key: presented, number },
      text: presented,
    }));
  },
};

const badName = usageFailure("the name may contain only a-z, 0-9 and -");
