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

test("the tool does not require the sections of the daemon", (t) => {
  const text = LINES.slice(7, 10).concat(LINES.slice(12)).join("\n");
  t.true(readToolSettings(text, { file: "s.ini" }).isOk());
  const problems = readSettings(text, { file: "s.ini" })._unsafeUnwrapErr();
  t.true(problems.every((found) => found.type === "missingField"));
});

const instanceCases = [
  { name: "of the same file", lines: LINES, instances: ["10.0.0.1:8080"] },
  {
    name: "of the operator section",
    lines: [...LINES, "instances = a:1, b:2"],
    instances: ["a:1", "b:2"],
  },
  { name: "none", lines: LINES.slice(7), instances: [] },
];

for (const { name, lines, instances } of instanceCases) {
  test(`instances of the tool: ${name}`, (t) => {
    const settings = readToolSettings(lines.join("\n"), { file: "s.ini" });
    t.deepEqual(settings._unsafeUnwrap().operator.instances, instances);
  });
}

interface InvalidSettings {
  readonly name: string;
  /** Index of the line in `LINES` that is replaced. */
  readonly lineIndex: number;
  readonly line: string;
  readonly types: readonly ProblemType[];
  /** Pattern of the last problem's message. */
  readonly message?: RegExp;
}

const invalidSettings: readonly InvalidSettings[] = [
  {
    name: "host name as advertised address",
    lineIndex: 5,
    line: "advertise = ub-1:8080",
    types: ["badValue"],
  },
  {
    name: "wildcard as advertised address",
    lineIndex: 5,
    line: "advertise = 0.0.0.0:8080",
    types: ["badValue"],
  },
  {
    name: "IPv6 without brackets",
    lineIndex: 3,
    line: "listen = ::1:80",
    types: ["badValue"],
  },
  {
    name: "address without a port",
    lineIndex: 3,
    line: "listen = 0.0.0.0",
    types: ["badValue"],
  },
  {
    name: "port too high",
    lineIndex: 3,
    line: "listen = 0.0.0.0:65536",
    types: ["badValue"],
  },
  {
    name: "mistyped field",
    lineIndex: 2,
    line: "zome = ub-a",
    types: ["missingField", "unknownField"],
  },
  {
    name: "mistyped section",
    lineIndex: 10,
    line: "[pears]",
    types: ["missingField", "unknownSection"],
    message: /`peers`/,
  },
  {
    name: "duplicate section",
    lineIndex: 12,
    line: "[peers]",
    types: ["missingField", "duplicateObject"],
  },
  { name: "empty store", lineIndex: 8, line: "store = ", types: ["badValue"] },
  { name: "short key", lineIndex: 11, line: "key = hush", types: ["badValue"] },
  {
    name: "line that is not INI",
    lineIndex: 11,
    line: "key 0123",
    types: ["missingField", "malformed"],
  },
];

for (const { name, lineIndex, line, types, message } of invalidSettings) {
  test(`invalid settings: ${name}`, (t) => {
    const text = LINES.with(lineIndex, line).join("\n");
    const problems = readSettings(text, { file: "s.ini" })._unsafeUnwrapErr();
    t.deepEqual(problems.map((found) => found.type), [...types]);
    t.true(problems.every((found) => found.file === "s.ini"));
    t.false(problems.some((found) => found.message.includes("hush")));
    if (message !== undefined) t.regex(problems.at(-1)!.message, message);
  });
}
