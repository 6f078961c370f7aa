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

interface Ended {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

class Desk {
  readonly folder = mkdtempSync(join(tmpdir(), "zinniapoint-cli-"));
  readonly store = new StandinStore({});

  static async open(t: ExecutionContext): Promise<Desk> {
    const desk = new Desk();
    await desk.store.listen();
    t.teardown(async () => {
      await desk.store.close();
      rmSync(desk.folder, { recursive: true });
    });
    await desk.succeed(t, "init");
    const file = join(desk.folder, "zinniapoint.ini");
    const settings = readFileSync(file, "utf8");
    const places = `127.0.0.1:1, ${desk.store.address}`;
    const placed = settings.replace("127.0.0.1:2379", places);
    writeFileSync(file, `${placed}\n[timing]\nstore_timeout = 60s\n`);
    return desk;
  }

  /** Runs the tool; anything but success fails the test. */
  async succeed(t: ExecutionContext, ...args: string[]): Promise<string> {
    const { code, out, err } = await this.run(...args);
    t.is(code, exitCodes.ok, err);
    return out;
  }

  run(...args: string[]): Promise<Ended> {
    return new Promise((resolve) => {
      const options = { cwd: this.folder };
      const call = [MAIN, ...args];
      execFile(process.execPath, call, options, (error, out, err) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({ code, out, err });
      });
    });
  }
}

test("process: publish, issue a key, read back", async (t) => {
  const desk = await Desk.open(t);
  await desk.succeed(t, "publish", "set.ini");
  const key = await desk.succeed(t, "key", "issue", "till", "--team", "first");
  t.regex(key, /^till\.[\w-]{43}\n$/);
  const copy = await desk.succeed(t, "get");
  t.regex(copy, /^; publication 2\n/);
  t.false(copy.includes(key.trim().slice("till.".length)));
});

interface Fault {
  readonly name: string;
  readonly control: Control;
  readonly code: number;
  /** Number in force afterwards. */
  readonly number: number;
}

const faults: readonly Fault[] = [
  {
    name: "one answer lost",
    control: { loseAnswers: { next: 1 } },
    code: exitCodes.ok,
    number: 2,
  },
  {
    name: "every answer lost",
    control: { loseAnswers: { probability: 1 } },
    code: exitCodes.ok,
    number: 2,
  },
  { name: "slow", control: { slowMs: 300 }, code: exitCodes.ok, number: 2 },
  {
    name: "away",
    control: { outage: "refuse" },
    code: exitCodes.unreachable,
    number: 1,
  },
];

for (const { name, control, code, number } of faults) {
  test(`process: store ${name}`, async (t) => {
    const desk = await Desk.open(t);
    await desk.succeed(t, "publish", "set.ini");
    await desk.store.control(control);
    const { err, ...ended } = await desk.run("publish", "set.ini");
    t.is(ended.code, code, err);
    await desk.store.control({ outage: false, slowMs: 0, loseAnswers: {} });
    const out = await desk.succeed(t, "history", "--json");
    t.is(JSON.parse(out)[0].number, number);
  });
}

test("process: operators that race lose no edit", async (t) => {
  const desk = await Desk.open(t);
  await desk.succeed(t, "publish", "set.ini");
  const workers = ["w1", "w2", "w3", "w4"];
  await Promise.all(
    workers.map((worker) => desk.succeed(t, "drain", worker)),
  );
  const out = await desk.succeed(t, "get");
  for (const worker of workers) t.true(out.includes(`worker = ${worker}\n`));
});
