import test from "ava";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { type Fields, formatLine, logLevels } from "./logger.ts";

const lines: readonly {
  readonly name: string;
  readonly fields: Fields;
  readonly line: string;
}[] = [
  { name: "no fields", fields: {}, line: "event=e" },
  { name: "plain", fields: { a: "x-1", b: 2 }, line: "event=e a=x-1 b=2" },
  {
    name: "absent",
    fields: { a: undefined, b: 1 },
    line: "event=e b=1",
  },
  { name: "flag", fields: { a: false }, line: "event=e a=false" },
  { name: "empty", fields: { a: "" }, line: 'event=e a=""' },
  { name: "space", fields: { a: "x y" }, line: 'event=e a="x y"' },
  { name: "equals sign", fields: { a: "x=y" }, line: 'event=e a="x=y"' },
  { name: "quote", fields: { a: 'x"y' }, line: 'event=e a="x\\"y"' },
  { name: "newline", fields: { a: "x\ny" }, line: 'event=e a="x\\ny"' },
  { name: "return", fields: { a: "x\ry" }, line: 'event=e a="x\\ry"' },
  {
    name: "line separators",
    fields: { a: "x\u0085\u2028\u2029y" },
    line: 'event=e a="x\\u0085\\u2028\\u2029y"',
  },
  {
    name: "escape sequence",
    fields: { a: "\u001b[2J\u007f\u009b" },
    line: 'event=e a="\\u001b[2J\\u007f\\u009b"',
  },
  {
    name: "letters",
    fields: { a: "цаас" },
    line: 'event=e a="цаас"',
  },
];

for (const { name, fields, line } of lines) {
  test(`formatted line: ${name}`, (t) => t.is(formatLine("e", fields), line));
}

/** Lines that a process with the given log level writes when it logs one event at each level. */
function linesWritten(level: string): string[] {
  const module = new URL("./logger.js", import.meta.url).href;
  const script = `
    const { openLog } = await import(${JSON.stringify(module)});
    const log = openLog(${JSON.stringify(level)}, { instance: "i-1" });
    for (const each of ["debug", "info", "warn", "error"]) {
      log[each]("said", { text: "two\\nlines" });
    }
  `;
  const args = ["--input-type=module", "-e", script];
  const cwd = fileURLToPath(new URL(".", import.meta.url));
  const { stderr, stdout } = spawnSync(process.execPath, args, {
    cwd,
    encoding: "utf8",
  });
  return [...stderr.split("\n"), ...stdout.split("\n")]
    .filter((line) => line !== "");
}

for (const [level, rank] of Object.entries(logLevels)) {
  test(`log level ${level} writes one line for each event of this level or above`, (t) => {
    const names = Object.entries(logLevels)
      .filter(([, other]) => other >= rank)
      .map(([name]) => name);
    const seen = linesWritten(level);
    t.is(seen.length, names.length);
    for (const [index, name] of names.entries()) {
      const [time, ...rest] = seen[index]!.split(" ");
      t.regex(time!, /^time=\d{4}-\d\d-\d\dT[\d:.]+Z$/);
      const fields = `level=${name} instance=i-1 text="two\\nlines"`;
      t.is(rest.join(" "), `event=said ${fields}`);
    }
  });
}
