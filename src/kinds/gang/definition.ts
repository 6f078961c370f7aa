/**
 * Definition of the kind `gang`: tasks that run all at the same time or not at all.
 *
 * @module
 */
import type { Definition } from "../policy.ts";
import { gangPolicy } from "./policy.ts";

/** The kind `gang`. */
export const gang: Definition<"gang"> = {
  kind: "gang",
  matches: (fields) => "tasks" in fields,
  policy: gangPolicy,
};
