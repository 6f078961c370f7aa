import { Buffer } from "node:buffer";
import { errAsync, okAsync } from "neverthrow";
import test from "ava";
import { ManualClock } from "../clock.ts";
import { readPublication } from "../configuration/publication.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import { verifyKey } from "../operator_set/keys.ts";
import { parseOperatorSet } from "../operator_set/parse.ts";
import { exitCodes, type ToolFailure } from "./failures.ts";
import { run } from "./program.ts";
import type { Host, InstanceAnswer, InstanceCall } from "./tool.ts";

const SETTINGS = `[platform]
store = 127.0.0.1:1
list = 127.0.0.1:2
[operator]
name = ana
key = 0123456789abcdef
instances = 127.0.0.1:3
`;

const SET = `[team shops]
[queue counter]
urgency = urgent
teams = shops
[workload receipt]
kind = service
queue = counter
cpu = 2
`;

class Desk implements Host {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  readonly store = new MemoryStore(this.service);
  readonly files = new Map([["zinniapoint.ini", SETTINGS], ["set.ini", SET]]);
  readonly environment: Record<string, string | undefined> = {};
  readonly calls: InstanceCall[] = [];
  readonly answers: (InstanceAnswer | ToolFailure)[] = [];
  printed: string[] = [];
  errors: string[] = [];

  async run(...args: string[]): Promise<number> {
    this.printed = [];
    this.errors = [];
    const code = run(args, this);
    await this.clock.run(20_000, 500);
    return await code;
  }

  async text(): Promise<string> {
    const found = await readPublication(this.store);
    return found._unsafeUnwrap()?.text ?? "";
  }

  readFile(path: string) {
    const text = this.files.get(path);
    return text === undefined
      ? errAsync({ type: "fileFailed" as const, message: `no ${path}` })
      : okAsync(Buffer.from(text));
  }

  readLines(path: string, take: (line: string) => void) {
    return this.readFile(path).map((bytes) => {
      for (const line of String(bytes).split("\n")) take(line);
    });
  }

  writeFile(path: string, text: string) {
    this.files.set(path, text);
    return okAsync(undefined);
  }

  exists(path: string): boolean {
    return this.files.has(path);
  }

  openStore() {
    return this.store;
  }

  openInstances() {
    return {
      send: (call: InstanceCall) => {
        this.calls.push(call);
        const answer = this.answers.shift() ?? unreachable;
        return "type" in answer ? errAsync(answer) : okAsync(answer);
      },
    };
  }

  out(text: string): void {
    this.printed.push(text);
  }

  outBytes(bytes: Uint8Array): void {
    this.printed.push(Buffer.from(bytes).toString());
  }

  err(text: string): void {
    this.errors.push(text);
  }
}

const unreachable: ToolFailure = {
  type: "instanceUnreachable",
  message: "no instance could be reached",
};

function answer(
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): InstanceAnswer {
  return { status, headers, body: Buffer.from(JSON.stringify(body)) };
}

function workers(cores: number): InstanceAnswer {
  const capacity = {
    cpuMillis: cores * 1000,
    memoryMib: 4096,
    accelerators: 0,
    slots: 8,
  };
  return answer(200, { workers: [{ id: "w1", capacity }] });
}

test("publishes, edits and publishes again", async (t) => {
  const desk = new Desk();
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
  t.is(desk.files.get("set.ini"), `; publication 1\n${SET}`);
  t.is(await desk.text(), SET);
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
  t.is(await desk.run("history", "--json"), exitCodes.ok);
  const heads = JSON.parse(desk.printed.join(""));
  t.deepEqual(heads.map((head: { number: number }) => head.number), [2, 1]);
});

test("refuses to publish over another operator", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  const copy = desk.files.get("set.ini")!;
  await desk.run("publish", "set.ini");
  desk.files.set("set.ini", copy);
  t.is(await desk.run("publish", "set.ini"), exitCodes.conflict);
  t.regex(desk.errors.join("\n"), /2 is in force, published by ana at 2026/);
});

test("get gives a copy that can be published", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  t.is(await desk.run("get", "--output", "copy.ini"), exitCodes.ok);
  t.is(await desk.run("publish", "copy.ini"), exitCodes.ok);
  t.is(await desk.run("get", "--number", "1", "--json"), exitCodes.ok);
  t.is(JSON.parse(desk.printed[0]!).number, 1);
  t.is(await desk.run("get", "--number", "9"), exitCodes.refused);
});

test("check reports problems with their lines", async (t) => {
  const desk = new Desk();
  desk.files.set("bad.ini", "[team a]\nacount = x\n[limit b]\n");
  t.is(await desk.run("check", "bad.ini"), exitCodes.problems);
  t.regex(desk.errors[0]!, /^bad.ini:2: \[team a\] acount: .*`account`/);
  t.is(await desk.run("publish", "bad.ini"), exitCodes.problems);
  t.is(await desk.text(), "");
});

test("check tells findings and what differs, and sends nothing", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  const before = await desk.text();
  desk.files.set("new.ini", `${SET}[team idle]\n`);
  desk.files.set("old.ini", "");
  t.is(
    await desk.run("check", "new.ini", "--against-published", "--json"),
    exitCodes.ok,
  );
  const report = JSON.parse(desk.printed.join(""));
  t.deepEqual(report.differences, [{ change: "added", object: "team idle" }]);
  t.true(
    report.findings.some((found: { readonly object: string }) =>
      found.object === "team idle"
    ),
  );
  t.is(
    await desk.run("check", "new.ini", "--against", "old.ini"),
    exitCodes.ok,
  );
  t.regex(desk.printed.join("\n"), /added +workload receipt/);
  t.is(
    await desk.run("check", "new.ini", "--against", "none"),
    exitCodes.usage,
  );
  t.is(await desk.text(), before);
});

test("publish checks against the fleet it can reach", async (t) => {
  const desk = new Desk();
  desk.answers.push(workers(1), workers(1), workers(4));
  t.is(await desk.run("publish", "set.ini"), exitCodes.problems);
  t.is(await desk.run("check", "set.ini", "--fleet"), exitCodes.problems);
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
  t.regex(desk.errors[0]!, /not checked against the fleet/);
});

test("a fleet that is not known yet refuses nothing", async (t) => {
  const desk = new Desk();
  desk.answers.push(answer(200, { workers: [] }));
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
  t.regex(desk.errors[0]!, /not checked against the fleet/);
});

test("cancels one submission, or all of a workload", async (t) => {
  const desk = new Desk();
  desk.answers.push(answer(200, { cancelled: 1 }));
  desk.answers.push(answer(200, { cancelled: 7 }));
  t.is(await desk.run("work", "cancel", "w/1"), exitCodes.ok);
  const wave = ["work", "cancel", "--workload", "bill"];
  t.is(await desk.run(...wave), exitCodes.ok);
  t.deepEqual(desk.printed, ["cancelled: 7"]);
  t.deepEqual(desk.calls.map(({ path }) => path), [
    "/v1/work/w%2F1/cancel",
    "/v1/work/cancel?workload=bill",
  ]);
  t.is(await desk.run("work", "cancel"), exitCodes.usage);
});

test("diff names what would change", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  await desk.run("diff", "set.ini");
  t.deepEqual(desk.printed, ["no change"]);
  const edited = SET.replace("cpu = 2", "cpu = 3") + "[team more]\n";
  desk.files.set("set.ini", edited);
  await desk.run("diff", "set.ini", "--json");
  t.deepEqual(JSON.parse(desk.printed[0]!).differences, [
    {
      change: "changed",
      object: "workload receipt",
      field: "cpu",
      from: "2",
      to: "3",
    },
    { change: "added", object: "team more" },
  ]);
});

test("a key is issued, works and is withdrawn", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  const issue = ["key", "issue", "till", "--team", "shops"];
  t.is(await desk.run(...issue), exitCodes.ok);
  const presented = desk.printed[0]!;
  const verify = async () => {
    const text = await desk.text();
    const set = parseOperatorSet(text, { file: "s" })._unsafeUnwrap();
    return verifyKey(set, presented);
  };
  t.is((await verify())._unsafeUnwrap().team, "shops");
  t.false((await desk.text()).includes(presented.split(".")[1]!));
  t.is(await desk.run(...issue), exitCodes.refused);
  t.is(await desk.run("key", "withdraw", "till"), exitCodes.ok);
  t.is((await verify())._unsafeUnwrapErr().type, "withdrawnKey");
  t.is(await desk.run("key", "withdraw", "none"), exitCodes.refused);
});

test("a key for no team is a problem", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  const code = await desk.run("key", "issue", "till", "--team", "shpos");
  t.is(code, exitCodes.problems);
  t.regex(desk.errors[0]!, /`shops`/);
  t.deepEqual(desk.printed, []);
});

test("an edit is made anew after a race", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  const racing = [
    run(["drain", "Worker_1"], desk),
    run(["drain", "worker-2"], desk),
    run(["work", "resume", "a/1"], desk),
  ];
  await desk.clock.run(20_000, 500);
  t.deepEqual(await Promise.all(racing), [0, 0, 0]);
  const set = parseOperatorSet(await desk.text(), { file: "s" })
    ._unsafeUnwrap();
  t.deepEqual([...set.drains.keys()].sort(), ["worker-1", "worker-2"]);
  t.is([...set.resumes.values()][0]?.work, "a/1");
});

test("drain and undrain leave the rest as it was", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  t.is(await desk.run("drain", "w1"), exitCodes.ok);
  t.is(await desk.run("drain", "w1"), exitCodes.refused);
  t.is(await desk.run("undrain", "w1"), exitCodes.ok);
  t.is((await desk.text()).trimEnd(), SET.trimEnd());
  t.is(await desk.run("undrain", "w1"), exitCodes.refused);
});

// Guards against a zone taken for a worker of the same name.
test("a zone is drained and undrained beside a worker", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  t.is(await desk.run("drain", "a"), exitCodes.ok);
  t.is(await desk.run("drain", "--zone", "a"), exitCodes.ok);
  const set = parseOperatorSet(await desk.text(), { file: "s" })
    ._unsafeUnwrap();
  t.deepEqual([...set.evacuations.values()].map(({ zone }) => zone), ["a"]);
  t.is(await desk.run("drain", "--zone", "a"), exitCodes.refused);
  t.is(await desk.run("undrain", "--zone", "a"), exitCodes.ok);
  t.is(await desk.run("undrain", "--zone", "a"), exitCodes.refused);
  t.is(await desk.run("undrain", "a"), exitCodes.ok);
  t.is((await desk.text()).trimEnd(), SET.trimEnd());
});

test("drain takes exactly one of a worker and a zone", async (t) => {
  const desk = new Desk();
  await desk.run("publish", "set.ini");
  for (const command of ["drain", "undrain"]) {
    t.is(await desk.run(command), exitCodes.usage);
    t.is(await desk.run(command, "w1", "--zone", "a"), exitCodes.usage);
  }
});

test("each resume of the same work has a new name", async (t) => {
  const desk = new Desk();
  await desk.run("work", "resume", "w-1");
  const first = await desk.text();
  await desk.run("work", "resume", "w-1");
  t.not(await desk.text(), first);
  t.is((await desk.text()).match(/\[resume /g)?.length, 1);
});

test("submits with the key of the environment", async (t) => {
  const desk = new Desk();
  desk.environment["ZINNIAPOINT_KEY"] = "till.secret";
  desk.files.set("in", "payload");
  desk.answers.push(answer(202, { id: "w-1" }));
  const code = await desk.run(
    "submit",
    "bill",
    "--payload",
    "in",
    "--count",
    "3",
  );
  t.is(code, exitCodes.ok);
  t.deepEqual(desk.printed, ["id: w-1"]);
  const [call] = desk.calls;
  t.like(call, { method: "POST", path: "/v1/work", key: "till.secret" });
  t.deepEqual(JSON.parse(Buffer.from(call!.body!).toString()), {
    workload: "bill",
    payload: Buffer.from("payload").toString("base64"),
    count: 3,
  });
});

test("waits for the end of work", async (t) => {
  const desk = new Desk();
  const statuses = ["waiting", "running", "finished"];
  desk.answers.push(answer(202, { id: "w-1" }));
  desk.answers.push(...statuses.map((status) => answer(200, { status })));
  t.is(await desk.run("submit", "bill", "--wait"), exitCodes.ok);
  t.deepEqual(desk.errors, ["work w-1 is waiting", "work w-1 is running"]);
  desk.answers.push(
    answer(202, { id: "w-2" }),
    answer(200, { status: "parked" }),
  );
  t.is(await desk.run("submit", "bill", "--wait"), exitCodes.refused);
});

test("prints the whole answer of a service", async (t) => {
  const desk = new Desk();
  const done = { "zinniapoint-outcome": "done" };
  desk.answers.push(answer(404, "no such page", done));
  t.is(await desk.run("request", "receipt", "/print?n=1"), exitCodes.ok);
  t.is(desk.calls[0]?.path, "/v1/request/receipt/print?n=1");
  t.deepEqual(desk.printed, ['"no such page"']);
});

const refusals = [
  { name: "not run", outcome: "notRun", code: exitCodes.refused },
  { name: "unknown", outcome: "unknown", code: exitCodes.unknown },
];

for (const { name, outcome, code } of refusals) {
  test(`a refusal that says ${name}`, async (t) => {
    const desk = new Desk();
    const headers = { "zinniapoint-outcome": outcome };
    const body = { type: "x", message: "why", outcome, retryAfterMs: 5 };
    desk.answers.push(answer(503, body, headers));
    t.is(await desk.run("request", "receipt", "/", "--json"), code);
    t.like(JSON.parse(desk.errors[0]!), { outcome, retryAfterMs: 5 });
  });
}

interface Fault {
  readonly name: string;
  readonly args: readonly string[];
  readonly code: number;
  readonly before?: (desk: Desk) => void;
}

const silent: ToolFailure = { type: "instanceSilent", message: "no answer" };

const faults: readonly Fault[] = [
  { name: "no command", args: [], code: exitCodes.usage },
  { name: "unknown command", args: ["pulbish"], code: exitCodes.usage },
  { name: "unknown option", args: ["get", "--x"], code: exitCodes.usage },
  { name: "no file", args: ["check", "none"], code: exitCodes.usage },
  { name: "no argument", args: ["check"], code: exitCodes.usage },
  { name: "no team", args: ["key", "issue", "a"], code: exitCodes.usage },
  {
    name: "count 0",
    args: ["submit", "b", "--count", "0"],
    code: exitCodes.usage,
  },
  {
    name: "two subjects",
    args: ["explain", "a", "--team", "b"],
    code: exitCodes.usage,
  },
  {
    name: "malformed key",
    args: ["work", "list", "--key", "x"],
    code: exitCodes.usage,
  },
  {
    name: "no operator name",
    args: ["publish", "set.ini"],
    code: exitCodes.usage,
    before: (desk) =>
      desk.files.set("zinniapoint.ini", SETTINGS.replace("name = ana\n", "")),
  },
  {
    name: "settings with a problem",
    args: ["history"],
    code: exitCodes.problems,
    before: (desk) => desk.files.set("zinniapoint.ini", "[platfrom]"),
  },
  {
    name: "store away",
    args: ["publish", "set.ini"],
    code: exitCodes.unreachable,
    before: (desk) => desk.store.cut(),
  },
  {
    name: "answer lost for good",
    args: ["publish", "set.ini"],
    code: exitCodes.unknown,
    before: (desk) =>
      Object.assign(desk.store.faults, { loseAnswers: 1, budget: 2 }),
  },
  { name: "instances away", args: ["status"], code: exitCodes.unreachable },
  {
    name: "instance silent",
    args: ["work", "cancel", "w-1"],
    code: exitCodes.unknown,
    before: (desk) => desk.answers.push(silent),
  },
  {
    name: "nothing published",
    args: ["get"],
    code: exitCodes.refused,
  },
  {
    name: "files to start from are there",
    args: ["init"],
    code: exitCodes.usage,
  },
];

for (const { name, args, code, before } of faults) {
  test(`exit code: ${name}`, async (t) => {
    const desk = new Desk();
    before?.(desk);
    t.is(await desk.run(...args), code, desk.errors.join("\n"));
    t.deepEqual(desk.printed, []);
    t.true(desk.errors.length > 0);
  });
}

test("init writes files that pass the checks", async (t) => {
  const desk = new Desk();
  desk.files.clear();
  t.is(await desk.run("init"), exitCodes.ok);
  t.is(await desk.run("check", "set.ini"), exitCodes.ok);
  t.is(await desk.run("publish", "set.ini"), exitCodes.ok);
});

test("every command has an example in its help", async (t) => {
  const desk = new Desk();
  for (const name of ["publish", "key issue", "work resume", "explain"]) {
    t.is(await desk.run(...name.split(" "), "--help"), exitCodes.ok);
    t.regex(desk.printed.join("\n"), new RegExp(`zinniapoint ${name} `));
  }
});
