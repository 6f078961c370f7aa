import test from "ava";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const script = fileURLToPath(new URL("./main.js", import.meta.url));

const LINES = [
  "[instance]",
  "name = ub-1",
  "zone = ub-a",
  "listen = 127.0.0.1:8080",
  "peer_listen = 127.0.0.1:8081",
  "advertise = 127.0.0.1:8080",
  "peer_advertise = 127.0.0.1:8081",
  "[platform]",
  "store = 127.0.0.1:2379",
  "list = 127.0.0.1:9000",
  "[peers]",
  "key = peers-secret-0123456789",
  "[operator]",
  "key = operators-secret-0123456789",
];

function runDaemon(args: readonly string[]) {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [script, ...args],
    { encoding: "utf8" },
  );
  return { status, stdout, stderr };
}

test("--help prints the usage", (t) => {
  const { status, stdout } = runDaemon(["--help"]);
  t.is(status, 0);
  t.regex(stdout, /Usage: zinniapointd/);
});

test("a settings file that cannot be read is an error", (t) => {
  const { status, stderr } = runDaemon(["nothing.ini"]);
  t.is(status, 2);
  t.is(stderr, "nothing.ini: cannot be read\n");
});

const invalidSettings = [
  {
    name: "unknown section",
    lineIndex: 7,
    line: "[plattform]",
    message: /^no such/,
  },
  {
    name: "unknown field",
    lineIndex: 2,
    line: "zonne = x",
    message: /no such field/,
  },
  {
    name: "invalid address",
    lineIndex: 3,
    line: "listen = nowhere",
    message: /host:port/,
  },
  {
    name: "field before any section",
    lineIndex: 0,
    line: "x = y",
    message: /first section/,
  },
  {
    name: "short key",
    lineIndex: 11,
    line: "key = short",
    message: /16 letters/,
  },
  { name: "empty name", lineIndex: 1, line: "name =", message: /./ },
];

for (const { name, lineIndex, line, message } of invalidSettings) {
  test(`invalid settings are reported with file and line: ${name}`, (t) => {
    const folder = mkdtempSync(join(tmpdir(), "zinniapoint-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "bad.ini");
    const lines = LINES.map((old, index) => index === lineIndex ? line : old);
    writeFileSync(file, lines.join("\n"));
    const { status, stdout, stderr } = runDaemon([file]);
    t.is(status, 2);
    t.is(stdout, "");
    const wanted = stderr.split("\n")
      .find((each) => each.startsWith(`${file}:${lineIndex + 1}: `));
    t.truthy(wanted, stderr);
    t.regex(wanted!.split(": ").slice(2).join(": "), message);
    t.notRegex(stderr, /secret-0123456789/);
  });
}
