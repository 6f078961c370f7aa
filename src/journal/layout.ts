/**
 * Keys of the journal in the platform's service.
 *
 * @module
 */

const ROOT = "zinniapoint/journal";
const NUMBER_WIDTH = 12;
/** Batches whose keys have all but their last digit in common. */
const GROUP = 10;

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

/** Batches that can be read together. */
export interface BatchGroup {
  readonly prefix: string;
  readonly numbers: readonly number[];
}

/** The batches from the oldest to the newest, up to {@linkcode GROUP} together. */
export function batchGroups(
  segment: string,
  range: { readonly first: number; readonly next: number },
): BatchGroup[] {
  const groups = new Map<string, number[]>();
  for (let number = range.first; number < range.next; number++) {
    const prefix = batchKey(segment, number - number % GROUP).slice(0, -1);
    const numbers = groups.get(prefix) ?? [];
    numbers.push(number);
    groups.set(prefix, numbers);
  }
  return [...groups].map(([prefix, numbers]) => ({ prefix, numbers }));
}
