/**
 * Store keys of the journal.
 *
 * @module
 */

const JOURNAL_PREFIX = "zinniapoint/journal";
const NUMBER_WIDTH = 12;
/** Number of batches whose keys differ only in the last digit. */
const BATCHES_PER_GROUP = 10;

/** Common prefix of the keys of a segment. */
export function segmentPrefix(segment: string): string {
  return `${JOURNAL_PREFIX}/${segment}/`;
}

/** Key of the segment's head. */
export function headKey(segment: string): string {
  return `${segmentPrefix(segment)}head`;
}

/** Key of a batch. */
export function batchKey(segment: string, number: number): string {
  const padded = String(number).padStart(NUMBER_WIDTH, "0");
  return `${segmentPrefix(segment)}${padded}`;
}

/** Batches that one listing by key prefix returns. */
export interface BatchGroup {
  readonly prefix: string;
  readonly numbers: readonly number[];
}

/** Groups the batches of a segment, oldest first, with up to {@linkcode BATCHES_PER_GROUP} in a group. */
export function batchGroups(
  segment: string,
  range: { readonly first: number; readonly next: number },
): BatchGroup[] {
  const groups = new Map<string, number[]>();
  for (let number = range.first; number < range.next; number++) {
    const prefix = batchKey(segment, number - number % BATCHES_PER_GROUP).slice(
      0,
      -1,
    );
    const numbers = groups.get(prefix) ?? [];
    numbers.push(number);
    groups.set(prefix, numbers);
  }
  return [...groups].map(([prefix, numbers]) => ({ prefix, numbers }));
}
