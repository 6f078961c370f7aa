import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import test, { type ExecutionContext } from "ava";
import type { Control } from "../../standins/store/faults.ts";
import { StandinStore } from "../../standins/store/store.ts";
import { exitCodes } from "./failures.ts";

const MAIN = fileURLToPath(new URL("main.js", import.meta.url));

interface ProcessResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** A folder with files from `init` and a stand-in store; the tool runs in it as a process. */
class Workspace {
  readonly folder = mkdtempSync(join(tmpdir(), "zinniapoint-cli-"));
  readonly store = new StandinStore({});

  static async open(t: ExecutionContext): Promise<Workspace> {
    const workspace = new Workspace();
    await workspace.store.listen();
    t.teardown(async () => {
      await workspace.store.close();
      rmSync(workspace.folder, { recursive: true });
    });
    await workspace.succeed(t, "init");
    const file = join(workspace.folder, "zinniapoint.ini");
    const settings = readFileSync(file, "utf8");
    const addresses = `127.0.0.1:1, ${workspace.store.address}`;
    const edited = settings.replace("127.0.0.1:2379", addresses);
    writeFileSync(file, `${edited}\n[timing]\nstore_timeout = 60s\n`);
    return workspace;
  }

  /** Runs the tool, fails the test unless the exit code is 0, and returns the output. */
  async succeed(t: ExecutionContext, ...args: string[]): Promise<string> {
    const { code, out, err } = await this.run(...args);
    t.is(code, exitCodes.ok, err);
    return out;
  }

  /** Runs the tool. */
  run(...args: string[]): Promise<ProcessResult> {
    return new Promise((resolve) => {
      const options = { cwd: this.folder };
      const command = [MAIN, ...args];
      execFile(process.execPath, command, options, (error, out, err) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({ code, out, err });
      });
    });
  }
}

test("process: an issued key is in the active set without its secret", async (t) => {
  const workspace = await Workspace.open(t);
  await workspace.succeed(t, "publish", "set.ini");
  const key = await workspace.succeed(
    t,
    "key",
    "issue",
    "till",
    "--team",
    "first",
  );
  t.regex(key, /^till\.[\w-]{43}\n$/);
  const copy = await workspace.succeed(t, "get");
  t.regex(copy, /^; publication 2\n/);
  t.false(copy.includes(key.trim().slice("till.".length)));
});

/** A fault of the store during `publish`. */
interface FaultCase {
  readonly name: string;
  readonly control: Control;
  /** Expected exit code. */
  readonly code: number;
  /** Number of the active publication afterwards. */
  readonly number: number;
}

const faultCases: readonly FaultCase[] = [
  {
    name: "one response lost",
    control: { loseAnswers: { next: 1 } },
    code: exitCodes.ok,
    number: 2,
  },
  {
    name: "every response lost",
    control: { loseAnswers: { probability: 1 } },
    code: exitCodes.ok,
    number: 2,
  },
  {
    name: "slow",
    control: { slowMs: 300 },
    code: exitCodes.ok,
    number: 2,
  },
  {
    name: "away",
    control: { outage: "refuse" },
    code: exitCodes.unreachable,
    number: 1,
  },
];

for (const { name, control, code, number } of faultCases) {
  test(`process: publish, store: ${name}`, async (t) => {
    const workspace = await Workspace.open(t);
    await workspace.succeed(t, "publish", "set.ini");
    await workspace.store.control(control);
    const { err, ...ended } = await workspace.run("publish", "set.ini");
    t.is(ended.code, code, err);
    await workspace.store.control({
      outage: false,
      slowMs: 0,
      loseAnswers: {},
    });
    const out = await workspace.succeed(t, "history", "--json");
    t.is(JSON.parse(out)[0].number, number);
  });
}

test("process: no edit is lost when operators publish at the same time", async (t) => {
  const workspace = await Workspace.open(t);
  await workspace.succeed(t, "publish", "set.ini");
  const workers = ["w1", "w2", "w3", "w4"];
  await Promise.all(
    workers.map((worker) => workspace.succeed(t, "drain", worker)),
  );
  const out = await workspace.succeed(t, "get");
  for (const worker of workers) t.true(out.includes(`worker = ${worker}\n`));
});
