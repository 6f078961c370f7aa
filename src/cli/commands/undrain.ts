/**
 * `undrain WORKER`: puts a worker back into use.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { objectsWith, removeObjects } from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Undoes a drain. */
export const undrainCommand: ToolCommand = {
  name: "undrain",
  arguments: "<worker>",
  summary: "give a drained worker work again",
  example: "zinniapoint undrain worker-7",
  run(tool, input) {
    const worker = argument(input, 0);
    return republish(tool, (text) => {
      const field = ["worker", worker] as const;
      const drains = objectsWith(text, "drain", { field });
      if (drains.length === 0) {
        const message = `worker ${worker} is not drained`;
        return err({ type: "objectState", message });
      }
      return ok(removeObjects(text, drains));
    }).map(({ number }) => reportValue({ undrained: worker, number }));
  },
};
