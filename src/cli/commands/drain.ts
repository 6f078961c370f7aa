/**
 * `drain WORKER` and `drain --zone ZONE`: stop placing work on workers.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { drainTarget, zoneOption } from "../drain_target.ts";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { addObject, objectsWith, toObjectName } from "../set_edit.ts";
import type { ToolCommand } from "../tool.ts";

/** Drains a worker or all workers of a zone: no new work is placed there. */
export const drainCommand: ToolCommand = {
  name: "drain",
  arguments: "[worker]",
  summary: "place no new work on a worker or in a zone",
  example: "zinniapoint drain worker-7",
  options: [zoneOption],
  run(tool, input) {
    return drainTarget(input).asyncAndThen(({ kind, field }) => {
      const [what, name] = field;
      return republish(tool, (text) => {
        if (objectsWith(text, kind, { field }).length > 0) {
          const message = `${what} ${name} is already drained`;
          return err({ type: "objectState", message });
        }
        const object = `${kind} ${toObjectName(name)}`;
        return ok(addObject(text, object, { fields: [field] }));
      }).map(({ number }) => reportValue({ drained: name, number }));
    });
  },
};
