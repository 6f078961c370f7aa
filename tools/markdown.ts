/**
 * Extracts the references of a Markdown page: links, npm scripts, benchmarks and files.
 *
 * @module
 */

/** Reference in a page, with its line number from 1. */
export type Reference =
  | {
    readonly type: "link";
    readonly line: number;
    /** Path relative to the page; empty for a link within the page. */
    readonly path: string;
    /** Anchor without `#`; empty if there is none. */
    readonly anchor: string;
  }
  | { readonly type: "script"; readonly line: number; readonly name: string }
  | { readonly type: "bench"; readonly line: number; readonly name: string }
  | { readonly type: "file"; readonly line: number; readonly path: string };

const FENCE = /^\s*(```|~~~)/;
const HEADING = /^#{1,6}\s+(.*?)\s*#*$/;
const LINK = /\[[^\]]*\]\(<?([^)\s>]+)>?(?:\s+"[^"]*")?\)/g;
const DEFINITION = /^\s*\[[^\]]+\]:\s+<?([^\s>]+)>?/;
const CODE_SPAN = /(`+)(.+?)\1/g;
const SCHEME = /^[a-z][a-z0-9+.-]*:/i;
const SCRIPT = /npm run (?:-s |--silent )?([a-z][\w:-]*)/g;
const BENCH = /npm run (?:-s |--silent )?bench -- ([a-z]\w*)/g;
const PATH = /(?<![\w./:@*-])\.?[\w-]+(?:\/[\w.-]+)*\/?(?![\w*:])/g;

/** Anchors of a page's headings, as GitHub and similar sites generate them. */
export function anchorsOf(text: string): ReadonlySet<string> {
  const anchors = new Set<string>();
  for (const { line, fenced } of linesOf(text)) {
    const heading = fenced ? null : HEADING.exec(line);
    if (heading === null) continue;
    const slug = slugOf(heading[1] ?? "");
    let anchor = slug;
    for (let next = 1; anchors.has(anchor); next++) anchor = `${slug}-${next}`;
    anchors.add(anchor);
  }
  return anchors;
}

/** All references of a page to the repository. */
export function* referencesOf(text: string): Generator<Reference> {
  for (const { line, number, fenced } of linesOf(text)) {
    if (fenced) {
      yield* codeReferences(line, number);
      continue;
    }
    for (const [, , code = ""] of line.matchAll(CODE_SPAN)) {
      yield* codeReferences(code, number);
    }
    yield* linkReferences(line.replaceAll(CODE_SPAN, ""), number);
  }
}

function* linkReferences(line: string, number: number): Generator<Reference> {
  const definition = DEFINITION.exec(line)?.[1];
  const targets = [...line.matchAll(LINK)].map((match) => match[1] ?? "");
  if (definition !== undefined) targets.push(definition);
  for (const target of targets) {
    if (SCHEME.test(target)) continue;
    const [path = "", anchor = ""] = target.split("#");
    yield { type: "link", line: number, path, anchor };
  }
}

function* codeReferences(code: string, line: number): Generator<Reference> {
  for (const [, name = ""] of code.matchAll(SCRIPT)) {
    yield { type: "script", line, name };
  }
  for (const [, name = ""] of code.matchAll(BENCH)) {
    yield { type: "bench", line, name };
  }
  for (const [path] of code.matchAll(PATH)) {
    if (path.includes("/")) yield { type: "file", line, path };
  }
}

function slugOf(heading: string): string {
  return heading
    .replaceAll(/\[([^\]]*)\]\([^)]*\)/g, "$1")
    .toLowerCase()
    .replaceAll(/[^\p{L}\p{N}\s_-]/gu, "")
    .replaceAll(/\s/g, "-");
}

interface Line {
  readonly line: string;
  readonly number: number;
  readonly fenced: boolean;
}

function* linesOf(text: string): Generator<Line> {
  let fenced = false;
  for (const [index, line] of text.split("\n").entries()) {
    const isFence = FENCE.test(line);
    if (isFence) fenced = !fenced;
    else yield { line, number: index + 1, fenced };
  }
}
