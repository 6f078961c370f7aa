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

/** Prefixes that cover the batches from the oldest to the newest, {@linkcode GROUP} each. */
export function groupPrefixes(
  segment: string,
  range: { readonly first: number; readonly next: number },
): string[] {
  if (range.first === range.next) return [];
  const from = Math.floor(range.first / GROUP);
  const to = Math.floor((range.next - 1) / GROUP);
  return Array.from({ length: to - from + 1 }, (_, index) => {
    return batchKey(segment, (from + index) * GROUP).slice(0, -1);
  });
}
