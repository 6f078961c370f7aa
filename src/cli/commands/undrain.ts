/**
 * `undrain WORKER` and `undrain --zone ZONE`: place work on workers again.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { drainTarget, zoneOption } from "../drain_target.ts";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { objectsWith, removeObjects } from "../set_edit.ts";
import type { ToolCommand } from "../tool.ts";

/** Reverts `drain`. */
export const undrainCommand: ToolCommand = {
  name: "undrain",
  arguments: "[worker]",
  summary: "place work on a drained worker or in a drained zone again",
  example: "zinniapoint undrain worker-7",
  options: [zoneOption],
  run(tool, input) {
    return drainTarget(input).asyncAndThen(({ kind, field }) => {
      const [what, name] = field;
      return republish(tool, (text) => {
        const drains = objectsWith(text, kind, { field });
        if (drains.length === 0) {
          const message = `${what} ${name} is not drained`;
          return err({ type: "objectState", message });
        }
        return ok(removeObjects(text, drains));
      }).map(({ number }) => reportValue({ undrained: name, number }));
    });
  },
};
