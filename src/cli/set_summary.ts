/**
 * Summarizes an operator set.
 *
 * @module
 */
import type { OperatorSet } from "../operator_set.ts";
import { type Report, reportValue } from "./report.ts";

/** Counts the objects of a set by kind. */
export function summarize(set: OperatorSet): Report {
  const counts = Object.entries(set).map(([kind, objects]) =>
    [kind, objects.size] as const
  );
  return reportValue(Object.fromEntries(counts));
}
