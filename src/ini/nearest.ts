/**
 * Finds the known name that a mistyped one was probably meant to be.
 *
 * @module
 */

/** The known name with the fewest edits to `name`; `undefined` if there is none at all. */
export function nearest(
  name: string,
  known: readonly string[],
): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, edits: editDistance(name, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  return ranked[0]?.candidate;
}

/** Ends a message on an unknown name. */
export function suggestion(name: string, known: readonly string[]): string {
  const candidate = nearest(name, known);
  return candidate === undefined ? "" : `; did you mean \`${candidate}\`?`;
}

function editDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (const [row, letter] of [...a].entries()) {
    const current = [row + 1];
    for (const [column, other] of [...b].entries()) {
      const substitution = previous[column]! + (letter === other ? 0 : 1);
      const deletion = previous[column + 1]! + 1;
      const insertion = current[column]! + 1;
      current.push(Math.min(substitution, deletion, insertion));
    }
    previous = current;
  }
  return previous[b.length]!;
}
