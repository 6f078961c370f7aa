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
import type { Host, InstanceRequest, InstanceResponse } from "./tool.ts";

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

/** A host with files and a store in memory, and queued responses of instances. */
class FakeHost implements Host {
  readonly clock = new ManualClock();
  readonly service = new MemoryService(this.clock);
  readonly store = new MemoryStore(this.service);
  readonly files = new Map([["zinniapoint.ini", SETTINGS], ["set.ini", SET]]);
  readonly environment: Record<string, string | undefined> = {};
  readonly requests: InstanceRequest[] = [];
  readonly responses: (InstanceResponse | ToolFailure)[] = [];
  printed: string[] = [];
  errors: string[] = [];

  /** Runs the tool on the manual clock and returns the exit code. */
  async run(...args: string[]): Promise<number> {
    this.printed = [];
    this.errors = [];
    const code = run(args, this);
    await this.clock.run(20_000, 500);
    return await code;
  }

  /** The text of the active set. */
  async activeText(): Promise<string> {
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

  openInstanceClient() {
    return {
      send: (request: InstanceRequest) => {
        this.requests.push(request);
        const response = this.responses.shift() ?? unreachable;
        return "type" in response ? errAsync(response) : okAsync(response);
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

function jsonResponse(
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): InstanceResponse {
  return { status, headers, body: Buffer.from(JSON.stringify(body)) };
}

function workersResponse(cores: number): InstanceResponse {
  const capacity = {
    cpuMillis: cores * 1000,
    memoryMib: 4096,
    accelerators: 0,
    slots: 8,
  };
  return jsonResponse(200, { workers: [{ id: "w1", capacity }] });
}

test("a published file can be published again", async (t) => {
  const host = new FakeHost();
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
  t.is(host.files.get("set.ini"), `; publication 1\n${SET}`);
  t.is(await host.activeText(), SET);
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
  t.is(await host.run("history", "--json"), exitCodes.ok);
  const heads = JSON.parse(host.printed.join(""));
  t.deepEqual(heads.map((head: { number: number }) => head.number), [2, 1]);
});

test("publishing from an outdated base is a conflict", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  const copy = host.files.get("set.ini")!;
  await host.run("publish", "set.ini");
  host.files.set("set.ini", copy);
  t.is(await host.run("publish", "set.ini"), exitCodes.conflict);
  t.regex(host.errors.join("\n"), /2 is active, published by ana at 2026/);
});

test("get writes a copy that can be published", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  t.is(await host.run("get", "--output", "copy.ini"), exitCodes.ok);
  t.is(await host.run("publish", "copy.ini"), exitCodes.ok);
  t.is(await host.run("get", "--number", "1", "--json"), exitCodes.ok);
  t.is(JSON.parse(host.printed[0]!).number, 1);
  t.is(await host.run("get", "--number", "9"), exitCodes.rejected);
});

test("check reports problems with their lines", async (t) => {
  const host = new FakeHost();
  host.files.set("bad.ini", "[team a]\nacount = x\n[limit b]\n");
  t.is(await host.run("check", "bad.ini"), exitCodes.problems);
  t.regex(host.errors[0]!, /^bad.ini:2: \[team a\] acount: .*`account`/);
  t.is(await host.run("publish", "bad.ini"), exitCodes.problems);
  t.is(await host.activeText(), "");
});

test("check lists findings and differences and publishes nothing", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  const before = await host.activeText();
  host.files.set("new.ini", `${SET}[team idle]\n`);
  host.files.set("old.ini", "");
  t.is(
    await host.run("check", "new.ini", "--against-published", "--json"),
    exitCodes.ok,
  );
  const report = JSON.parse(host.printed.join(""));
  t.deepEqual(report.differences, [{ change: "added", object: "team idle" }]);
  t.true(
    report.findings.some((found: { readonly object: string }) =>
      found.object === "team idle"
    ),
  );
  t.is(
    await host.run("check", "new.ini", "--against", "old.ini"),
    exitCodes.ok,
  );
  t.regex(host.printed.join("\n"), /added +workload receipt/);
  t.is(
    await host.run("check", "new.ini", "--against", "none"),
    exitCodes.usage,
  );
  t.is(await host.activeText(), before);
});

test("publish checks against the fleet if an instance can be reached", async (t) => {
  const host = new FakeHost();
  host.responses.push(
    workersResponse(1),
    workersResponse(1),
    workersResponse(4),
  );
  t.is(await host.run("publish", "set.ini"), exitCodes.problems);
  t.is(await host.run("check", "set.ini", "--fleet"), exitCodes.problems);
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
  t.regex(host.errors[0]!, /not checked against the fleet/);
});

test("publish succeeds if an instance lists no workers", async (t) => {
  const host = new FakeHost();
  host.responses.push(jsonResponse(200, { workers: [] }));
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
  t.regex(host.errors[0]!, /not checked against the fleet/);
});

test("cancels one submission or all submissions of a workload", async (t) => {
  const host = new FakeHost();
  host.responses.push(jsonResponse(200, { cancelled: 1 }));
  host.responses.push(jsonResponse(200, { cancelled: 7 }));
  t.is(await host.run("work", "cancel", "w/1"), exitCodes.ok);
  const wave = ["work", "cancel", "--workload", "bill"];
  t.is(await host.run(...wave), exitCodes.ok);
  t.deepEqual(host.printed, ["cancelled: 7"]);
  t.deepEqual(host.requests.map(({ path }) => path), [
    "/v1/work/w%2F1/cancel",
    "/v1/work/cancel?workload=bill",
  ]);
  t.is(await host.run("work", "cancel"), exitCodes.usage);
});

test("diff lists added objects and changed fields", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  await host.run("diff", "set.ini");
  t.deepEqual(host.printed, ["no change"]);
  const edited = SET.replace("cpu = 2", "cpu = 3") + "[team more]\n";
  host.files.set("set.ini", edited);
  await host.run("diff", "set.ini", "--json");
  t.deepEqual(JSON.parse(host.printed[0]!).differences, [
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

test("an issued key is valid until it is withdrawn", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  const issue = ["key", "issue", "till", "--team", "shops"];
  t.is(await host.run(...issue), exitCodes.ok);
  const presented = host.printed[0]!;
  const verify = async () => {
    const text = await host.activeText();
    const set = parseOperatorSet(text, { file: "s" })._unsafeUnwrap();
    return verifyKey(set, presented);
  };
  t.is((await verify())._unsafeUnwrap().team, "shops");
  t.false((await host.activeText()).includes(presented.split(".")[1]!));
  t.is(await host.run(...issue), exitCodes.rejected);
  t.is(await host.run("key", "withdraw", "till"), exitCodes.ok);
  t.is((await verify())._unsafeUnwrapErr().type, "withdrawnKey");
  t.is(await host.run("key", "withdraw", "none"), exitCodes.rejected);
});

test("a key for an unknown team is a problem", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  const code = await host.run("key", "issue", "till", "--team", "shpos");
  t.is(code, exitCodes.problems);
  t.regex(host.errors[0]!, /`shops`/);
  t.deepEqual(host.printed, []);
});

test("concurrent edits are all applied", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  const racing = [
    run(["drain", "Worker_1"], host),
    run(["drain", "worker-2"], host),
    run(["work", "resume", "a/1"], host),
  ];
  await host.clock.run(20_000, 500);
  t.deepEqual(await Promise.all(racing), [0, 0, 0]);
  const set = parseOperatorSet(await host.activeText(), { file: "s" })
    ._unsafeUnwrap();
  t.deepEqual([...set.drains.keys()].sort(), ["worker-1", "worker-2"]);
  t.is([...set.resumes.values()][0]?.work, "a/1");
});

test("drain and undrain leave the rest of the set unchanged", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  t.is(await host.run("drain", "w1"), exitCodes.ok);
  t.is(await host.run("drain", "w1"), exitCodes.rejected);
  t.is(await host.run("undrain", "w1"), exitCodes.ok);
  t.is((await host.activeText()).trimEnd(), SET.trimEnd());
  t.is(await host.run("undrain", "w1"), exitCodes.rejected);
});

// Guards against mistaking a zone for a worker of the same name.
test("a zone and a worker of the same name are drained independently", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  t.is(await host.run("drain", "a"), exitCodes.ok);
  t.is(await host.run("drain", "--zone", "a"), exitCodes.ok);
  const set = parseOperatorSet(await host.activeText(), { file: "s" })
    ._unsafeUnwrap();
  t.deepEqual([...set.evacuations.values()].map(({ zone }) => zone), ["a"]);
  t.is(await host.run("drain", "--zone", "a"), exitCodes.rejected);
  t.is(await host.run("undrain", "--zone", "a"), exitCodes.ok);
  t.is(await host.run("undrain", "--zone", "a"), exitCodes.rejected);
  t.is(await host.run("undrain", "a"), exitCodes.ok);
  t.is((await host.activeText()).trimEnd(), SET.trimEnd());
});

test("drain requires either a worker or a zone", async (t) => {
  const host = new FakeHost();
  await host.run("publish", "set.ini");
  for (const command of ["drain", "undrain"]) {
    t.is(await host.run(command), exitCodes.usage);
    t.is(await host.run(command, "w1", "--zone", "a"), exitCodes.usage);
  }
});

test("a repeated resume replaces the earlier one under a new name", async (t) => {
  const host = new FakeHost();
  await host.run("work", "resume", "w-1");
  const first = await host.activeText();
  await host.run("work", "resume", "w-1");
  t.not(await host.activeText(), first);
  t.is((await host.activeText()).match(/\[resume /g)?.length, 1);
});

test("submits with the key from the environment", async (t) => {
  const host = new FakeHost();
  host.environment["ZINNIAPOINT_KEY"] = "till.secret";
  host.files.set("in", "payload");
  host.responses.push(jsonResponse(202, { id: "w-1" }));
  const code = await host.run(
    "submit",
    "bill",
    "--payload",
    "in",
    "--count",
    "3",
  );
  t.is(code, exitCodes.ok);
  t.deepEqual(host.printed, ["id: w-1"]);
  const [request] = host.requests;
  t.like(request, { method: "POST", path: "/v1/work", key: "till.secret" });
  t.deepEqual(JSON.parse(Buffer.from(request!.body!).toString()), {
    workload: "bill",
    payload: Buffer.from("payload").toString("base64"),
    count: 3,
  });
});

test("submit --wait polls until the work has ended", async (t) => {
  const host = new FakeHost();
  const statuses = ["waiting", "running", "finished"];
  host.responses.push(jsonResponse(202, { id: "w-1" }));
  host.responses.push(
    ...statuses.map((status) => jsonResponse(200, { status })),
  );
  t.is(await host.run("submit", "bill", "--wait"), exitCodes.ok);
  t.deepEqual(host.errors, ["work w-1 is waiting", "work w-1 is running"]);
  host.responses.push(
    jsonResponse(202, { id: "w-2" }),
    jsonResponse(200, { status: "parked" }),
  );
  t.is(await host.run("submit", "bill", "--wait"), exitCodes.rejected);
});

test("request prints the response of a service, whatever its status", async (t) => {
  const host = new FakeHost();
  const done = { "zinniapoint-outcome": "done" };
  host.responses.push(jsonResponse(404, "no such page", done));
  t.is(await host.run("request", "receipt", "/print?n=1"), exitCodes.ok);
  t.is(host.requests[0]?.path, "/v1/request/receipt/print?n=1");
  t.deepEqual(host.printed, ['"no such page"']);
});

const rejections = [
  { name: "not run", outcome: "notRun", code: exitCodes.rejected },
  { name: "unknown", outcome: "unknown", code: exitCodes.unknown },
];

for (const { name, outcome, code } of rejections) {
  test(`exit code of a rejection with outcome: ${name}`, async (t) => {
    const host = new FakeHost();
    const headers = { "zinniapoint-outcome": outcome };
    const body = { type: "x", message: "why", outcome, retryAfterMs: 5 };
    host.responses.push(jsonResponse(503, body, headers));
    t.is(await host.run("request", "receipt", "/", "--json"), code);
    t.like(JSON.parse(host.errors[0]!), { outcome, retryAfterMs: 5 });
  });
}

/** A command line that fails, with its exit code. */
interface FailureCase {
  readonly name: string;
  readonly args: readonly string[];
  readonly code: number;
  readonly before?: (host: FakeHost) => void;
}

const noResponse: ToolFailure = {
  type: "instanceSilent",
  message: "no response",
};

const failureCases: readonly FailureCase[] = [
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
    name: "an id and a team",
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
    before: (host) =>
      host.files.set("zinniapoint.ini", SETTINGS.replace("name = ana\n", "")),
  },
  {
    name: "settings with a problem",
    args: ["history"],
    code: exitCodes.problems,
    before: (host) => host.files.set("zinniapoint.ini", "[platfrom]"),
  },
  {
    name: "store unreachable",
    args: ["publish", "set.ini"],
    code: exitCodes.unreachable,
    before: (host) => host.store.cut(),
  },
  {
    name: "response lost, then the store is busy",
    args: ["publish", "set.ini"],
    code: exitCodes.unknown,
    before: (host) =>
      Object.assign(host.store.faults, { lostReplies: 1, remainingCalls: 2 }),
  },
  {
    name: "instances unreachable",
    args: ["status"],
    code: exitCodes.unreachable,
  },
  {
    name: "no response of the instance",
    args: ["work", "cancel", "w-1"],
    code: exitCodes.unknown,
    before: (host) => host.responses.push(noResponse),
  },
  {
    name: "nothing published",
    args: ["get"],
    code: exitCodes.rejected,
  },
  {
    name: "files of init exist",
    args: ["init"],
    code: exitCodes.usage,
  },
];

for (const { name, args, code, before } of failureCases) {
  test(`exit code: ${name}`, async (t) => {
    const host = new FakeHost();
    before?.(host);
    t.is(await host.run(...args), code, host.errors.join("\n"));
    t.deepEqual(host.printed, []);
    t.true(host.errors.length > 0);
  });
}

test("init writes files that pass the checks", async (t) => {
  const host = new FakeHost();
  host.files.clear();
  t.is(await host.run("init"), exitCodes.ok);
  t.is(await host.run("check", "set.ini"), exitCodes.ok);
  t.is(await host.run("publish", "set.ini"), exitCodes.ok);
});

test("the help of a command has an example", async (t) => {
  const host = new FakeHost();
  for (const name of ["publish", "key issue", "work resume", "explain"]) {
    t.is(await host.run(...name.split(" "), "--help"), exitCodes.ok);
    t.regex(host.printed.join("\n"), new RegExp(`zinniapoint ${name} `));
  }
});
