/**
 * Public interface of the package: validating and publishing an operator
 * set, and running an instance.
 *
 * @module
 */
export { readSettings, type Settings } from "./config.ts";
export {
  publish,
  readHistory,
  readPublication,
} from "./configuration/publication.ts";
export { Daemon } from "./daemon/daemon.ts";
export { checkAgainstFleet } from "./operator_set/fleet_checks.ts";
export { issueKey, verifyKey } from "./operator_set/keys.ts";
export { parseOperatorSet } from "./operator_set/parse.ts";
export type { OperatorSet } from "./operator_set.ts";
export type { Outcome, Reason } from "./types.ts";
