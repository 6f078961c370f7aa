/**
 * Definition of the kind `batch`: independent tasks that run to completion.
 *
 * @module
 */
import type { Definition } from "../policy.ts";
import { batchPolicy } from "./policy.ts";

/** The kind `batch`. */
export const batch: Definition<"batch"> = {
  kind: "batch",
  matches: (fields) => "due" in fields || "dueMs" in fields,
  policy: batchPolicy,
};
