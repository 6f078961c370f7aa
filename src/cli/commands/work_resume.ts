/**
 * `work resume ID`: retries parked work.
 *
 * @module
 */
import { ok } from "neverthrow";
import { reportValue } from "../report.ts";
import { republish } from "../republish.ts";
import {
  addObject,
  objectsWith,
  removeObjects,
  toObjectName,
} from "../set_edit.ts";
import { argument, type ToolCommand } from "../tool.ts";

/**
 * Resumes parked work: tasks that are not retried automatically. Each resume
 * is an object of the set with a name of its own, so that it takes effect once.
 */
export const workResumeCommand: ToolCommand = {
  name: "work resume",
  arguments: "<id>",
  summary: "retry parked work: tasks that are not retried automatically",
  example: "zinniapoint work resume w-1842",
  run(tool, input) {
    const work = argument(input, 0);
    const field = ["work", work] as const;
    return republish(tool, (text, { number }) => {
      const earlier = objectsWith(text, "resume", { field });
      const rest = removeObjects(text, earlier);
      const object = `resume ${toObjectName(work)}-${number + 1}`;
      return ok(addObject(rest, object, { fields: [field] }));
    }).map(({ number }) => reportValue({ resumed: work, number }));
  },
};
