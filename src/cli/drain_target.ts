/**
 * The target of `drain` and `undrain`: a worker or a zone.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type ToolFailure, usageFailure } from "./failures.ts";
import type { FieldText } from "./set_edit.ts";
import { type CommandInput, option, type ToolOption } from "./tool.ts";

/** Option that names a zone instead of a worker. */
export const zoneOption: ToolOption = {
  flags: "--zone <zone>",
  help: "all workers of a zone",
};

/** A worker or a zone, and the objects of the operator set that drain it. */
export interface DrainTarget {
  /** Kind of the objects. */
  readonly kind: "drain" | "evacuate";
  /** Field of the objects that names the target. */
  readonly field: FieldText;
}

/** Reads the target from the arguments; fails unless exactly one is given. */
export function drainTarget(
  input: CommandInput,
): Result<DrainTarget, ToolFailure> {
  const [worker] = input.arguments;
  const zone = option(input, "zone");
  if (worker !== undefined && zone === undefined) {
    return ok({ kind: "drain", field: ["worker", worker] });
  }
  if (zone !== undefined && worker === undefined) {
    return ok({ kind: "evacuate", field: ["zone", zone] });
  }
  return err(usageFailure("give either WORKER or --zone"));
}
