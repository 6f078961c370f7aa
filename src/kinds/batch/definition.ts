/**
 * Tasks that run to their end, each on its own.
 *
 * @module
 */
import type { Definition } from "../policy.ts";
import { batchPolicy } from "./policy.ts";

/** The kind `batch`. */
export const batch: Definition<"batch"> = {
  kind: "batch",
  detects: (fields) => "due" in fields || "dueMs" in fields,
  policy: batchPolicy,
};
