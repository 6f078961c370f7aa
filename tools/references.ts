/**
 * Checks that the references in the repository's Markdown pages resolve.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { anchorsOf, type Reference, referencesOf } from "./markdown.ts";

/** Reference that does not resolve. */
export interface Problem {
  readonly page: string;
  readonly line: number;
  readonly message: string;
}

/** Result of a check. */
export interface CheckResult {
  /** Number of references that resolve. */
  readonly passed: number;
  readonly problems: readonly Problem[];
}

const SKIPPED_DIRECTORIES = new Set(["node_modules", "dist", ".git"]);
/** Extensions that mark a path as a file of the repository. */
const SOURCE_FILE = /\.(ts|md|ini)$/;
const BUILD_PREFIX = "dist/";

/** Checks every Markdown page in a directory and its subdirectories. Throws if `package.json` cannot be read. */
export function checkPages(root: string): CheckResult {
  const tree: Repository = {
    root,
    entries: new Set(readdirSync(root)),
    scripts: scriptsOf(root),
  };
  let passed = 0;
  const problems: Problem[] = [];
  for (const page of pagesOf(root)) {
    const text = readFileSync(page, "utf8");
    for (const reference of referencesOf(text)) {
      const message = problemOf(reference, { tree, page });
      if (message === undefined) passed++;
      else {
        const { line } = reference;
        problems.push({ page: relative(root, page), line, message });
      }
    }
  }
  return { passed, problems };
}

interface Repository {
  readonly root: string;
  readonly entries: ReadonlySet<string>;
  readonly scripts: ReadonlySet<string>;
}

function problemOf(
  reference: Reference,
  at: { readonly tree: Repository; readonly page: string },
): string | undefined {
  const { root, scripts } = at.tree;
  switch (reference.type) {
    case "link":
      return linkProblem(reference, at.page);
    case "script":
      return scripts.has(reference.name)
        ? undefined
        : `no npm script ${reference.name}`;
    case "bench":
      return existsSync(join(root, "bench", `${reference.name}.ts`))
        ? undefined
        : `no bench ${reference.name}`;
    case "file":
      return fileProblem(reference.path, at.tree);
  }
}

function linkProblem(
  { path, anchor }: { readonly path: string; readonly anchor: string },
  page: string,
): string | undefined {
  const target = path === "" ? page : join(dirname(page), decodeURI(path));
  if (!existsSync(target)) return `no file ${path}`;
  if (anchor === "") return undefined;
  const exists = target.endsWith(".md") &&
    anchorsOf(readFileSync(target, "utf8")).has(anchor);
  return exists ? undefined : `no heading #${anchor} in ${path || "this page"}`;
}

function fileProblem(path: string, tree: Repository): string | undefined {
  const source = path.startsWith(BUILD_PREFIX)
    ? path.slice(BUILD_PREFIX.length).replace(/\.js$/, ".ts")
    : path;
  const topEntry = source.split("/")[0] ?? "";
  const expected = path.startsWith(BUILD_PREFIX) ||
    tree.entries.has(topEntry) ||
    SOURCE_FILE.test(path);
  if (!expected || existsSync(join(tree.root, source))) return undefined;
  return `no file ${path}`;
}

function scriptsOf(root: string): ReadonlySet<string> {
  const file = readFileSync(join(root, "package.json"), "utf8");
  const { scripts } = JSON.parse(file) as { scripts?: Record<string, string> };
  return new Set(Object.keys(scripts ?? {}));
}

function* pagesOf(directory: string): Generator<string> {
  for (const entry of readdirSync(directory, { withFileTypes: true })) {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      if (!SKIPPED_DIRECTORIES.has(entry.name)) yield* pagesOf(path);
    } else if (entry.name.endsWith(".md")) yield path;
  }
}
