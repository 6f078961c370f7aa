/**
 * `key withdraw NAME`: ends a key.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { hasObject, setField } from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Withdraws a key; it stays in the set so that its use can be told apart. */
export const keyWithdrawCommand: ToolCommand = {
  name: "key withdraw",
  arguments: "<name>",
  summary: "stop a key from letting work in",
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
