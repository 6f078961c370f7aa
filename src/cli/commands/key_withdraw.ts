/**
 * `key withdraw NAME`: withdraws a key, so that it is no longer accepted.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { hasObject, setField } from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Withdraws a key. It stays in the set, so that its use is distinguished from that of an unknown key. */
export const keyWithdrawCommand: ToolCommand = {
  name: "key withdraw",
  arguments: "<name>",
  summary: "withdraw a key: calls with it are rejected",
  example: "zinniapoint key withdraw counter-12",
  run(tool, input) {
    const name = argument(input, 0);
    const object = `key ${name}`;
    return republish(tool, (text) => {
      if (!hasObject(text, object)) {
        const message = `there is no key ${name}`;
        return err({ type: "objectState", message });
      }
      return ok(setField(text, object, { field: ["withdrawn", "true"] }));
    }).map(({ number }) => reportValue({ withdrawn: name, number }));
  },
};
