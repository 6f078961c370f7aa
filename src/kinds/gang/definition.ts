/**
 * Tasks that run all at once or not at all.
 *
 * @module
 */
import type { Definition } from "../policy.ts";
import { gangPolicy } from "./policy.ts";

/** The kind `gang`. */
export const gang: Definition<"gang"> = {
  kind: "gang",
  detects: (fields) => "tasks" in fields,
  policy: gangPolicy,
};
