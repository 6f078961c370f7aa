/**
 * `drain WORKER`: takes a worker out of use.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { addObject, asName, objectsWith } from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Drains a worker: it gets no new work. */
export const drainCommand: ToolCommand = {
  name: "drain",
  arguments: "<worker>",
  summary: "give a worker no new work",
  example: "zinniapoint drain worker-7",
  run(tool, input) {
    const worker = argument(input, 0);
    const field = ["worker", worker] as const;
    return republish(tool, (text) => {
      if (objectsWith(text, "drain", { field }).length > 0) {
        const message = `worker ${worker} is already drained`;
        return err({ type: "objectState", message });
      }
      const object = `drain ${asName(worker)}`;
      return ok(addObject(text, object, { fields: [field] }));
    }).map(({ number }) => reportValue({ drained: worker, number }));
  },
};
