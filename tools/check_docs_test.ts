import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import test from "ava";
import { anchorsOf } from "./markdown.ts";
import { checkPages } from "./references.ts";

/** Checks a temporary repository with the given files; returns the problems as `PAGE:LINE: MESSAGE`. */
function findProblems(files: Readonly<Record<string, string>>): string[] {
  const root = mkdtempSync(join(tmpdir(), "check-docs-"));
  const all = { "package.json": '{"scripts":{"bench":"x"}}', ...files };
  for (const [path, text] of Object.entries(all)) {
    mkdirSync(dirname(join(root, path)), { recursive: true });
    writeFileSync(join(root, path), text);
  }
  const result = checkPages(root);
  rmSync(root, { recursive: true });
  return result.problems.map(({ page, line, message }) =>
    `${page}:${line}: ${message}`
  );
}

test("valid links have no problems", (t) => {
  const a = "# A b\n[self](#a-b) [there](docs/b.md#two--words) [out](http://x)";
  const b = "## Two & words\n[back](../a.md)";
  t.deepEqual(findProblems({ "a.md": a, "docs/b.md": b }), []);
});

test("a link to a missing file is reported", (t) => {
  const found = findProblems({ "a.md": "x\n[b](b.md) [ok](a.md)" });
  t.deepEqual(found, ["a.md:2: no file b.md"]);
});

test("a link to a missing anchor is reported", (t) => {
  const found = findProblems({ "a.md": "[b](b.md#c)", "b.md": "# B" });
  t.deepEqual(found, ["a.md:1: no heading #c in b.md"]);
});

test("a missing npm script is reported", (t) => {
  const found = findProblems({
    "a.md": "`npm run -s bench` and `npm run demo`",
  });
  t.deepEqual(found, ["a.md:1: no npm script demo"]);
});

test("a missing benchmark is reported", (t) => {
  const files = {
    "a.md": "`npm run -s bench -- one`\n\n```\nnpm run bench -- two\n```",
    "bench/one.ts": "",
  };
  t.deepEqual(findProblems(files), ["a.md:4: no bench two"]);
});

test("missing files in code are reported", (t) => {
  const files = {
    "a.md": "`src/x.ts` `src/y.ts` `src/` `lib/z.ts` `dist/src/x.js`" +
      " `dist/src/w.js` `src/*.ts` `application/json` `/etc/x.ini`",
    "src/x.ts": "",
  };
  t.deepEqual(findProblems(files), [
    "a.md:1: no file src/y.ts",
    "a.md:1: no file lib/z.ts",
    "a.md:1: no file dist/src/w.js",
  ]);
});

test("links in code are ignored", (t) => {
  t.deepEqual(
    findProblems({ "a.md": "`[b](b.md)`\n\n```\n[c](c.md)\n```" }),
    [],
  );
});

test("anchors of equal headings are numbered", (t) => {
  t.deepEqual([...anchorsOf("# A\n# A\n```\n# B\n```")], ["a", "a-1"]);
});
