import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import process from "node:process";
import test, { type ExecutionContext } from "ava";

const LINE = /^listening address=(127\.0\.0\.1:\d+)( \w+=\S+)*\n$/;

interface Started {
  readonly child: ChildProcess;
  readonly address: string;
}

async function start(
  t: ExecutionContext,
  name: string,
  args: readonly string[] = [],
): Promise<Started> {
  const main = fileURLToPath(new URL(`${name}/main.js`, import.meta.url));
  const child = spawn(process.execPath, [main, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  t.teardown(() => child.kill("SIGKILL"));
  const [line] = await once(child.stdout, "data");
  const [, address = ""] = LINE.exec(String(line)) ?? [];
  return { child, address };
}

async function read(address: string, path: string): Promise<unknown> {
  const response = await fetch(`http://${address}${path}`);
  return response.json();
}

async function control(
  address: string,
  path: string,
  body: unknown,
): Promise<number> {
  const headers = { connection: "close" };
  const init = { method: "POST", headers, body: JSON.stringify(body) };
  return (await fetch(`http://${address}${path}`, init)).status;
}

for (const name of ["store", "list", "worker"]) {
  test(`${name} prints its address and exits on SIGTERM`, async (t) => {
    const { child, address } = await start(t, name);
    t.not(address, "");
    child.kill("SIGTERM");
    const [code] = await once(child, "exit");
    t.is(code, 0);
  });
}

test("a hanging store accepts control requests", async (t) => {
  const { child, address } = await start(t, "store");
  t.is(await control(address, "/control", { outage: "hang" }), 200);
  t.is(await control(address, "/control", { outage: false }), 200);
  t.like(await read(address, "/control/record"), { writes: [], watching: 0 });
  t.true(child.exitCode === null);
});

test("descriptions of workers are valid entries of the list", async (t) => {
  const workers = await start(t, "worker", [
    "--count=3",
    "--rack-size=2",
    "--zones=a,b",
  ]);
  const list = await start(t, "list");
  const described = await read(workers.address, "/workers");
  t.is(await control(list.address, "/control", described), 200);
  t.deepEqual(await read(list.address, "/v1/instances"), {
    ...described as { workers: unknown[] },
    instances: [],
  });
  t.like(described, {
    workers: [
      { id: "worker-1", zone: "a" },
      { id: "worker-2", zone: "a" },
      { id: "worker-3", zone: "b" },
    ],
  });
});

test("a fault can be set on a single worker", async (t) => {
  const { address } = await start(t, "worker", ["--count=2"]);
  const { workers } = await read(address, "/workers") as {
    workers: { address: string }[];
  };
  t.is(await control(address, "/workers/worker-2", { failing: true }), 200);
  t.is(await control(address, "/workers/none", { failing: true }), 404);
  const statuses = await Promise.all(
    workers.map((worker) => control(worker.address, "/print", {})),
  );
  t.deepEqual(statuses, [200, 500]);
  t.like(await read(address, "/record/worker-2"), {
    workers: [{ requests: [{ path: "/print", end: "failed" }] }],
  });
});

test("a worker above capacity runs the requests and records the excess", async (t) => {
  const { address } = await start(t, "worker", ["--slots=1"]);
  const { workers: [worker] } = await read(address, "/workers") as {
    workers: [{ address: string }];
  };
  const prints = [1, 2].map(() =>
    control(worker.address, "/print", { workMs: 300 })
  );
  t.deepEqual(await Promise.all(prints), [200, 200]);
  t.like(await read(address, "/record/worker-1"), {
    workers: [{ usage: { high: { slots: 2 }, overfillCount: 1 } }],
  });
});
