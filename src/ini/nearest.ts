/**
 * Suggests a known name for a mistyped one.
 *
 * @module
 */

/** The known name with the smallest edit distance to `name`; `undefined` if `known` is empty. */
export function nearest(
  name: string,
  known: readonly string[],
): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, edits: editDistance(name, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  return ranked[0]?.candidate;
}

/** Suffix of a message about an unknown name: `; did you mean ...?`, or empty if `known` is. */
export function suggestion(name: string, known: readonly string[]): string {
  const candidate = nearest(name, known);
  return candidate === undefined ? "" : `; did you mean \`${candidate}\`?`;
}

/** Levenshtein distance. */
function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (const [row, charA] of [...a].entries()) {
    const current = [row + 1];
    for (const [column, charB] of [...b].entries()) {
      const substitution = previous[column]! + (charA === charB ? 0 : 1);
      const deletion = previous[column + 1]! + 1;
      const insertion = current[column]! + 1;
      current.push(Math.min(substitution, deletion, insertion));
    }
    previous = current;
  }
  return previous[b.length]!;
}
