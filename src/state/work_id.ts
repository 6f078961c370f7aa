/**
 * Identifiers of deferred work: the segment that stores it and its sequence number in that segment.
 *
 * @module
 */

/** Parsed identifier of a work. */
export interface WorkId {
  readonly segment: string;
  readonly sequence: number;
}

/** Formats an identifier as `SEGMENT.SEQUENCE`. */
export function formatWorkId(id: WorkId): string {
  return `${id.segment}.${id.sequence}`;
}

/** Parses an identifier; `undefined` if the text is not one. */
export function parseWorkId(text: string): WorkId | undefined {
  const match = /^(.+)\.(\d{1,15})$/.exec(text);
  if (match === null) return undefined;
  const [, segment = "", sequence = ""] = match;
  return { segment, sequence: Number(sequence) };
}
