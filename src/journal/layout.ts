/**
 * Keys of the journal in the platform's service.
 *
 * @module
 */

const ROOT = "zinniapoint/journal";
const NUMBER_WIDTH = 12;

/** Prefix of every key of a segment. */
export function segmentPrefix(segment: string): string {
  return `${ROOT}/${segment}/`;
}

/** Key of the segment's head. */
export function headKey(segment: string): string {
  return `${segmentPrefix(segment)}head`;
}

/** Key of one batch. */
export function batchKey(segment: string, number: number): string {
  const padded = String(number).padStart(NUMBER_WIDTH, "0");
  return `${segmentPrefix(segment)}${padded}`;
}
