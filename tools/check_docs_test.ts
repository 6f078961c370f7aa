import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import test from "ava";
import { anchorsOf } from "./markdown.ts";
import { checkPages } from "./references.ts";

/** Checks a repository of a few files; gives the problems' messages. */
function problems(files: Readonly<Record<string, string>>): string[] {
  const root = mkdtempSync(join(tmpdir(), "check-docs-"));
  const all = { "package.json": '{"scripts":{"bench":"x"}}', ...files };
  for (const [path, text] of Object.entries(all)) {
    mkdirSync(dirname(join(root, path)), { recursive: true });
    writeFileSync(join(root, path), text);
  }
  const verdict = checkPages(root);
  rmSync(root, { recursive: true });
  return verdict.problems.map(({ page, line, message }) =>
    `${page}:${line}: ${message}`
  );
}

test("links that resolve", (t) => {
  const a = "# A b\n[self](#a-b) [there](docs/b.md#two--words) [out](http://x)";
  const b = "## Two & words\n[back](../a.md)";
  t.deepEqual(problems({ "a.md": a, "docs/b.md": b }), []);
});

test("missing file", (t) => {
  const found = problems({ "a.md": "x\n[b](b.md) [ok](a.md)" });
  t.deepEqual(found, ["a.md:2: no file b.md"]);
});

test("missing anchor", (t) => {
  const found = problems({ "a.md": "[b](b.md#c)", "b.md": "# B" });
  t.deepEqual(found, ["a.md:1: no heading #c in b.md"]);
});

test("missing script", (t) => {
  const found = problems({ "a.md": "`npm run -s bench` and `npm run demo`" });
  t.deepEqual(found, ["a.md:1: no npm script demo"]);
});

test("missing bench", (t) => {
  const files = {
    "a.md": "`npm run -s bench -- one`\n\n```\nnpm run bench -- two\n```",
    "bench/one.ts": "",
  };
  t.deepEqual(problems(files), ["a.md:4: no bench two"]);
});

test("missing paths", (t) => {
  const files = {
    "a.md": "`src/x.ts` `src/y.ts` `src/` `lib/z.ts` `dist/src/x.js`" +
      " `dist/src/w.js` `src/*.ts` `application/json` `/etc/x.ini`",
    "src/x.ts": "",
  };
  t.deepEqual(problems(files), [
    "a.md:1: no file src/y.ts",
    "a.md:1: no file lib/z.ts",
    "a.md:1: no file dist/src/w.js",
  ]);
});

test("links in code are not followed", (t) => {
  t.deepEqual(problems({ "a.md": "`[b](b.md)`\n\n```\n[c](c.md)\n```" }), []);
});

test("anchors of equal headings", (t) => {
  t.deepEqual([...anchorsOf("# A\n# A\n```\n# B\n```")], ["a", "a-1"]);
});
