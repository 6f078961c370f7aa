import test from "ava";
import { readSettings, readToolSettings } from "./config.ts";
import type { ProblemType } from "./ini/problem.ts";

const LINES = [
  "[instance]",
  "name = ub-1",
  "zone = ub-a",
  "listen = 0.0.0.0:8080",
  "peer_listen = 0.0.0.0:8081",
  "advertise = 10.0.0.1:8080",
  "peer_advertise = [fd00::1]:8081",
  "[platform]",
  "store = kv-a:2379, kv-b:2379",
  "list = 127.0.0.1:9000",
  "[peers]",
  "key = 0123456789abcdef",
  "[operator]",
  "key = fedcba9876543210",
];

test("reads settings and defaults", (t) => {
  const settings = readSettings(LINES.join("\n"), { file: "s.ini" })
    ._unsafeUnwrap();
  t.is(settings.instance.peerAddress, "[fd00::1]:8081");
  t.deepEqual(settings.platform.store, ["kv-a:2379", "kv-b:2379"]);
  t.is(settings.log.level, "info");
  t.is(settings.timing.leaseMs, 5_000);
  t.is(settings.trace.exporter, "none");
});

test("the tool needs no instance", (t) => {
  const text = LINES.slice(7, 10).concat(LINES.slice(12)).join("\n");
  t.true(readToolSettings(text, { file: "s.ini" }).isOk());
  const problems = readSettings(text, { file: "s.ini" })._unsafeUnwrapErr();
  t.true(problems.every((found) => found.type === "missingField"));
});

const instanceCases = [
  { name: "of the file", lines: LINES, instances: ["10.0.0.1:8080"] },
  {
    name: "that are set",
    lines: [...LINES, "instances = a:1, b:2"],
    instances: ["a:1", "b:2"],
  },
  { name: "none", lines: LINES.slice(7), instances: [] },
];

for (const { name, lines, instances } of instanceCases) {
  test(`the tool asks instances: ${name}`, (t) => {
    const settings = readToolSettings(lines.join("\n"), { file: "s.ini" });
    t.deepEqual(settings._unsafeUnwrap().operator.instances, instances);
  });
}

interface Fault {
  readonly name: string;
  /** Index of the line replaced. */
  readonly at: number;
  readonly line: string;
  readonly types: readonly ProblemType[];
  readonly says?: RegExp;
}

const faults: readonly Fault[] = [
  {
    name: "host name advertised",
    at: 5,
    line: "advertise = ub-1:8080",
    types: ["badValue"],
  },
  {
    name: "wildcard advertised",
    at: 5,
    line: "advertise = 0.0.0.0:8080",
    types: ["badValue"],
  },
  {
    name: "IPv6 without brackets",
    at: 3,
    line: "listen = ::1:80",
    types: ["badValue"],
  },
  {
    name: "no port",
    at: 3,
    line: "listen = 0.0.0.0",
    types: ["badValue"],
  },
  {
    name: "port too high",
    at: 3,
    line: "listen = 0.0.0.0:65536",
    types: ["badValue"],
  },
  {
    name: "mistyped field",
    at: 2,
    line: "zome = ub-a",
    types: ["missingField", "unknownField"],
  },
  {
    name: "mistyped section",
    at: 10,
    line: "[pears]",
    types: ["missingField", "unknownSection"],
    says: /`peers`/,
  },
  {
    name: "section twice",
    at: 12,
    line: "[peers]",
    types: ["missingField", "duplicateObject"],
  },
  { name: "no store", at: 8, line: "store = ", types: ["badValue"] },
  { name: "short key", at: 11, line: "key = hush", types: ["badValue"] },
  {
    name: "no INI",
    at: 11,
    line: "key 0123",
    types: ["missingField", "malformed"],
  },
];

for (const { name, at, line, types, says } of faults) {
  test(`refuses: ${name}`, (t) => {
    const text = LINES.with(at, line).join("\n");
    const problems = readSettings(text, { file: "s.ini" })._unsafeUnwrapErr();
    t.deepEqual(problems.map((found) => found.type), [...types]);
    t.true(problems.every((found) => found.file === "s.ini"));
    t.false(problems.some((found) => found.message.includes("hush")));
    if (says !== undefined) t.regex(problems.at(-1)!.message, says);
  });
}
