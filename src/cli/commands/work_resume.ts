/**
 * `work resume ID`: lets parked work run again.
 *
 * @module
 */
import { ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import { addObject, asName, objectsWith, removeObjects } from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/** Resumes parked work; each resume has a name of its own, so that it counts once. */
export const workResumeCommand: ToolCommand = {
  name: "work resume",
  arguments: "<id>",
  summary: "let parked work run again",
  example: "zinniapoint work resume w-1842",
  run(tool, input) {
    const work = argument(input, 0);
    const field = ["work", work] as const;
    return republish(tool, (text, { number }) => {
      const earlier = objectsWith(text, "resume", { field });
      const rest = removeObjects(text, earlier);
      const object = `resume ${asName(work)}-${number + 1}`;
      return ok(addObject(rest, object, { fields: [field] }));
    }).map(({ number }) => reportValue({ resumed: work, number }));
  },
};
