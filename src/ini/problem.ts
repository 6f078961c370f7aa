/**
 * What can be wrong with an INI file of zinniapoint.
 *
 * @module
 */

/** Kinds of problems. */
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

/** One thing to mend before the file is taken. */
export interface Problem {
  readonly type: ProblemType;
  readonly file: string;
  /** Counted from 1; 0 if the problem has no line of its own. */
  readonly line: number;
  /** Such as `queue counter`; empty if none. */
  readonly object: string;
  /** Empty if the problem is not with one field. */
  readonly field: string;
  readonly message: string;
}

/** Makes a problem; what is not given is empty. */
export function problem(
  type: ProblemType,
  parts: Partial<Omit<Problem, "type">> & { readonly message: string },
): Problem {
  return { type, file: "", line: 0, object: "", field: "", ...parts };
}

/** A problem as one line: `file:line: [object] field: message`. */
export function describeProblem(found: Problem): string {
  const place = `${found.file}:${found.line}`;
  const object = found.object === "" ? "" : ` [${found.object}]`;
  const field = found.field === "" ? "" : ` ${found.field}:`;
  return `${place}:${object}${field} ${found.message}`;
}
