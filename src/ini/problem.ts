/**
 * Problems found in the INI files of zinniapoint: settings and operator sets.
 *
 * @module
 */

/** Types of problems. */
export type ProblemType =
  | "malformed"
  | "unknownSection"
  | "unknownField"
  | "missingField"
  | "missingSection"
  | "badName"
  | "badValue"
  | "duplicateObject"
  | "duplicateField"
  | "danglingReference"
  | "queueWithoutTeam"
  | "openQueue"
  | "shareClash"
  | "limitClash"
  | "workloadMisfit"
  | "neverFits"
  | "gangTooLarge"
  | "gangOverLimit"
  | "tooLarge";

/** An error in a file. A file with any problem is rejected. */
export interface Problem {
  readonly type: ProblemType;
  readonly file: string;
  /** Line number from 1; 0 if the problem is not tied to a line. */
  readonly line: number;
  /** Kind and name of the object, such as `queue counter`; empty if none. */
  readonly object: string;
  /** Name of the field; empty if the problem does not concern a single field. */
  readonly field: string;
  readonly message: string;
}

/** Creates a problem. Parts that are not given are empty or 0. */
export function problem(
  type: ProblemType,
  parts: Partial<Omit<Problem, "type">> & { readonly message: string },
): Problem {
  return { type, file: "", line: 0, object: "", field: "", ...parts };
}

/** Formats a problem as one line: `file:line: [object] field: message`. */
export function describeProblem(reported: Problem): string {
  const location = `${reported.file}:${reported.line}`;
  const object = reported.object === "" ? "" : ` [${reported.object}]`;
  const field = reported.field === "" ? "" : ` ${reported.field}:`;
  return `${location}:${object}${field} ${reported.message}`;
}
