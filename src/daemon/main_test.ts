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

function run(args: readonly string[]) {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [script, ...args],
    { encoding: "utf8" },
  );
  return { status, stdout, stderr };
}

test("the daemon says how it is used", (t) => {
  const { status, stdout } = run(["--help"]);
  t.is(status, 0);
  t.regex(stdout, /Usage: zinniapointd/);
});

test("the daemon names a file that cannot be read", (t) => {
  const { status, stderr } = run(["nothing.ini"]);
  t.is(status, 2);
  t.is(stderr, "nothing.ini: cannot be read\n");
});

const faults = [
  { name: "unknown section", at: 7, line: "[plattform]", says: /^no such/ },
  { name: "unknown field", at: 2, line: "zonne = x", says: /no such field/ },
  { name: "no address", at: 3, line: "listen = nowhere", says: /host:port/ },
  { name: "no section before", at: 0, line: "x = y", says: /first section/ },
  { name: "short key", at: 11, line: "key = short", says: /16 letters/ },
  { name: "no name", at: 1, line: "name =", says: /./ },
];

for (const { name, at, line, says } of faults) {
  test(`the daemon refuses settings: ${name}`, (t) => {
    const folder = mkdtempSync(join(tmpdir(), "zinniapoint-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "bad.ini");
    const lines = LINES.map((old, index) => index === at ? line : old);
    writeFileSync(file, lines.join("\n"));
    const { status, stdout, stderr } = run([file]);
    t.is(status, 2);
    t.is(stdout, "");
    const wanted = stderr.split("\n")
      .find((each) => each.startsWith(`${file}:${at + 1}: `));
    t.truthy(wanted, stderr);
    t.regex(wanted!.split(": ").slice(2).join(": "), says);
    t.notRegex(stderr, /secret-0123456789/);
  });
}
