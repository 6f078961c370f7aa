/**
 * Identifiers of deferred work: the segment that holds it and its sequence there.
 *
 * @module
 */

/** The parts of an identifier. */
export interface WorkId {
  readonly segment: string;
  readonly sequence: number;
}

/** Text of an identifier. */
export function formatWorkId(id: WorkId): string {
  return `${id.segment}.${id.sequence}`;
}

/** Reads an identifier; `undefined` if it is none. */
export function parseWorkId(text: string): WorkId | undefined {
  const match = /^(.+)\.(\d{1,15})$/.exec(text);
  if (match === null) return undefined;
  const [, segment = "", sequence = ""] = match;
  return { segment, sequence: Number(sequence) };
}
