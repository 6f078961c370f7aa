/**
 * Definition of the kind `service`: long-running replicas that answer requests.
 *
 * @module
 */
import type { Definition } from "../policy.ts";
import { servicePolicy } from "./policy.ts";

/** The kind `service`. */
export const service: Definition<"service"> = {
  kind: "service",
  matches: (fields) => "path" in fields || "replicas" in fields,
  policy: servicePolicy,
};
