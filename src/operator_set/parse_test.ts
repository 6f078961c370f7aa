import test from "ava";
import type { ProblemType } from "../ini/problem.ts";
import { parseOperatorSet } from "./parse.ts";

const VALID_SET = `
; teams of a shop
[team shop]
account = shops
[team billing]
[queue counter]
urgency = urgent
teams = shop, billing
max_wait = 3s
[share shop]
team = shop
weight = 2.5
[limit shop]
team = shop
running = 40
[workload receipt]
kind = service
queue = counter
cpu = 500m
memory = 2GiB
path = /receipts
[workload pages]
kind = batch
queue = counter
due = 6h
[drain old]
worker = w-1
[resume again]
work = b-1
`;

function problemsOf(text: string) {
  return parseOperatorSet(text, { file: "set.ini" }).match(
    () => [],
    (problems) => problems,
  );
}

test("reads objects, units and defaults", (t) => {
  const set = parseOperatorSet(VALID_SET, { file: "set.ini" })._unsafeUnwrap();
  t.deepEqual(set.workloads.get("receipt"), {
    name: "receipt",
    kind: "service",
    queue: "counter",
    resources: { cpuMillis: 500, memoryMib: 2048, accelerators: 0, slots: 1 },
    idempotent: false,
    timeoutMs: 30_000,
    attempts: 3,
    replicas: 0,
    path: "/receipts",
  });
  t.deepEqual(set.queues.get("counter"), {
    name: "counter",
    urgency: "urgent",
    open: false,
    teams: ["shop", "billing"],
    maxWaiting: 1000,
    maxWaitMs: 3000,
  });
  t.is(set.shares.get("shop")?.weight, 2.5);
  t.is(set.resumes.get("again")?.work, "b-1");
});

test("reads an empty set", (t) => {
  t.true(parseOperatorSet("", { file: "set.ini" }).isOk());
});

interface InvalidInput {
  readonly name: string;
  readonly text: string;
  readonly type: ProblemType;
  /** Line of the problem within `text`. */
  readonly line: number;
  readonly field?: string;
  readonly message?: RegExp;
}

const QUEUE = "urgency = urgent\nteams = shop";

const INVALID_INPUTS: readonly InvalidInput[] = [
  {
    name: "neither field nor header",
    text: "[team a]\nwhat",
    type: "malformed",
    line: 2,
  },
  { name: "unclosed header", text: "[team a", type: "malformed", line: 1 },
  {
    name: "unknown section",
    text: "[taem a]",
    type: "unknownSection",
    line: 1,
    message: /team/,
  },
  {
    name: "unknown field",
    text: "[team a]\nacount = x",
    type: "unknownField",
    line: 2,
    field: "acount",
    message: /account/,
  },
  {
    name: "prototype",
    text: "[__proto__]",
    type: "unknownSection",
    line: 1,
  },
  {
    name: "field named like a built-in property",
    text: "[team a]\nconstructor = x",
    type: "unknownField",
    line: 2,
  },
  { name: "no name", text: "[team]", type: "badName", line: 1 },
  { name: "bad name", text: "[team A_b]", type: "badName", line: 1 },
  {
    name: "object twice",
    text: "[team a]\n[team a]",
    type: "duplicateObject",
    line: 2,
  },
  {
    name: "field twice",
    text: "[team a]\naccount = x\naccount = y",
    type: "duplicateField",
    line: 3,
  },
  {
    name: "missing weight",
    text: "[share a]\nteam = shop",
    type: "missingField",
    line: 1,
    field: "weight",
  },
  {
    name: "zero weight",
    text: "[share a]\nteam = billing\nweight = 0",
    type: "badValue",
    line: 3,
  },
  {
    name: "negative weight",
    text: "[share a]\nteam = billing\nweight = -1",
    type: "badValue",
    line: 3,
  },
  {
    name: "zero limit",
    text: "[limit a]\nteam = billing\nrunning = 0",
    type: "badValue",
    line: 3,
  },
  {
    name: "two shares of a team",
    text: "[share a]\nteam = shop\nweight = 1",
    type: "shareClash",
    line: 2,
  },
  {
    name: "two limits of a team",
    text: "[limit a]\nteam = shop\nrunning = 1",
    type: "limitClash",
    line: 2,
  },
  {
    name: "reference to an unknown team",
    text: "[share a]\nteam = shpo\nweight = 1",
    type: "danglingReference",
    line: 2,
    message: /`shop`/,
  },
  {
    name: "reference to an unknown queue",
    text: "[workload a]\nkind = batch\nqueue = conter",
    type: "danglingReference",
    line: 3,
    message: /`counter`/,
  },
  {
    name: "key of an unknown team",
    text: `[key a]\nteam = x\nsalt = ${"0".repeat(32)}\nhash = ${
      "0".repeat(64)
    }`,
    type: "danglingReference",
    line: 2,
  },
  {
    name: "queue without team",
    text: "[queue a]\nurgency = urgent\nteams =",
    type: "queueWithoutTeam",
    line: 3,
  },
  {
    name: "open queue with two teams",
    text: "[queue a]\nurgency = urgent\nopen = true\nteams = shop, billing",
    type: "openQueue",
    line: 4,
  },
  {
    name: "team twice",
    text: "[queue a]\nurgency = urgent\nteams = shop, shop",
    type: "badValue",
    line: 3,
  },
  {
    name: "bad urgency",
    text: "[queue a]\nurgency = soon\nteams = shop",
    type: "badValue",
    line: 2,
  },
  {
    name: "negative cpu",
    text: "[workload a]\nkind = batch\nqueue = counter\ncpu = -1",
    type: "badValue",
    line: 4,
  },
  {
    name: "memory without unit",
    text: "[workload a]\nkind = batch\nqueue = counter\nmemory = 512",
    type: "badValue",
    line: 4,
  },
  {
    name: "unknown kind",
    text: "[workload a]\nkind = batsh\nqueue = counter",
    type: "badValue",
    line: 2,
    message: /`batch`/,
  },
  {
    name: "field of another kind",
    text: "[workload a]\nkind = batch\nqueue = counter\ntasks = 4",
    type: "unknownField",
    line: 4,
  },
  {
    name: "due time shorter than the timeout",
    text: "[workload a]\nkind = batch\nqueue = counter\ndue = 1s",
    type: "workloadMisfit",
    line: 4,
  },
  {
    name: "gang above the limit of its team",
    text: "[workload a]\nkind = gang\nqueue = counter\ntasks = 41",
    type: "gangOverLimit",
    line: 4,
  },
  {
    name: "gang with one task",
    text: "[workload a]\nkind = gang\nqueue = counter\ntasks = 1",
    type: "badValue",
    line: 4,
  },
];

const PRECEDING_LINES = VALID_SET.split("\n").length;

for (const input of INVALID_INPUTS) {
  test(`rejects: ${input.name}`, (t) => {
    const problems = problemsOf(`${VALID_SET}\n${input.text}`);
    const [problem] = problems;
    t.is(problems.length, 1, JSON.stringify(problems));
    t.is(problem?.type, input.type);
    t.is(problem?.line, PRECEDING_LINES + input.line);
    t.is(problem?.file, "set.ini");
    if (input.field !== undefined) t.is(problem?.field, input.field);
    if (input.message !== undefined) t.regex(problem!.message, input.message);
  });
}

test("reports every problem in order of lines", (t) => {
  const text = `[queue a]\n${QUEUE}\n[share b]\nteam = x\n[tem c]`;
  const found = problemsOf(text).map(({ type, line }) => `${line} ${type}`);
  t.deepEqual(found, [
    "3 danglingReference",
    "4 missingField",
    "6 unknownSection",
  ]);
});

test("does not report references to an object with problems as dangling", (t) => {
  const text = "[team a]\nx = 1\n[limit b]\nteam = a\nrunning = 1";
  t.deepEqual(problemsOf(text).map((found) => found.type), ["unknownField"]);
});
