import test from "ava";
import { err, ok } from "neverthrow";
import {
  type DispatchInstance,
  DispatchTestCluster,
} from "../fakes/dispatch_test_cluster.ts";
import {
  createResponse,
  createWorkerFailure,
} from "../fakes/memory_upstream.ts";

const four = { a: "1", b: "1", c: "1", d: "1" };
const start = () => new DispatchTestCluster().start(["1"], four);

/** Runs requests one after the other; those on `bad` fail. */
async function runRequests(
  cell: DispatchTestCluster,
  { count, bad, node = "1" }: {
    readonly count: number;
    readonly bad: readonly string[];
    readonly node?: string;
  },
): Promise<void> {
  for (const id of Object.keys(four)) cell.worker(id).holdsRequests = true;
  for (let index = 0; index < count; index++) {
    const id = `${cell.clock.monotonic()}.${index}`;
    void cell.node(node).requests.run(cell.request(id));
    await cell.settle(6);
    finishHeld(cell, bad);
    await cell.settle(6);
  }
}

function finishHeld(cell: DispatchTestCluster, bad: readonly string[]): void {
  for (const id of Object.keys(four)) {
    const status = bad.includes(id) ? 500 : 200;
    for (const held of cell.worker(id).pending.splice(0)) {
      held.finish(ok(createResponse(status)));
    }
  }
}

/** Tells how runs on each worker of a node ended. */
function record(node: DispatchInstance, failing: readonly string[]): void {
  for (const worker of Object.keys(four)) {
    const ending = failing.includes(worker) ? "failed" : "succeeded";
    for (let run = 0; run < 5; run++) {
      node.workers.ran(worker, { workload: "receipts", ending, tookMs: 1 });
    }
  }
}

const usable = ({ pool }: DispatchInstance) =>
  Object.keys(four).filter((id) => pool.usable(id));

test("quarantine: a worker that fails what others carry out gets nothing", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  record(node, ["b"]);
  record(node, ["b"]);
  t.deepEqual(usable(node), ["a", "c", "d"]);
  await runRequests(cell, { count: 20, bad: ["b"] });
  t.is(cell.worker("b").executedRequests.length, 0);
});

test("quarantine: a workload that fails everywhere takes no worker out", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  for (let round = 0; round < 5; round++) record(node, Object.keys(four));
  t.deepEqual(usable(node).length, 4);
});

test("quarantine: at most a quarter of the workers", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  for (let round = 0; round < 5; round++) record(node, ["a", "b"]);
  t.is(usable(node).length, 3);
});

for (
  const [name, status, after] of [["passes", 200, 4], [
    "fails",
    500,
    3,
  ]] as const
) {
  test(`probe: one run, ${name}`, async (t) => {
    const cell = await start();
    const node = cell.node("1");
    record(node, ["b"]);
    record(node, ["b"]);
    t.is(usable(node).length, 3);
    for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
    await cell.run(6_200);
    t.is(usable(node).length, 4);
    cell.worker("b").holdsRequests = true;
    for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
    for (const id of ["r", "s", "u"]) {
      void node.requests.run(cell.request(id));
    }
    await cell.settle();
    t.is(cell.worker("b").pending.length, 1);
    cell.worker("b").holdsRequests = false;
    cell.worker("b").pending[0]!.finish(ok(createResponse(status)));
    await cell.run(1_500);
    t.is(usable(node).length, after);
  });
}

test("probe: silence says nothing, another follows", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  record(node, ["b"]);
  record(node, ["b"]);
  await cell.run(6_200);
  node.workers.roomTaken("b");
  t.false(node.pool.usable("b"));
  const run = { workload: "receipts", ending: "unknown", tookMs: 1 } as const;
  node.workers.ran("b", run);
  t.false(node.pool.usable("b"));
  await cell.run(31_000);
  t.true(node.pool.usable("b"));
});

test("probe: room held for it may be used", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  record(node, ["b"]);
  record(node, ["b"]);
  await cell.run(6_200);
  node.workers.roomTaken("b");
  t.true(node.workers.usable("b"));
});

test("refusals: count against the worker", async (t) => {
  const cell = await start();
  const node = cell.node("1");
  record(node, []);
  record(node, []);
  cell.worker("b").holdsRequests = true;
  for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
  for (let index = 0; index < 12; index++) {
    const { waiting, ...request } = cell.request(`r${index}`);
    void node.requests.run({ ...request, waiting });
    await cell.settle(6);
    for (const held of cell.worker("b").pending.splice(0)) {
      held.finish(err(createWorkerFailure("workerRefused")));
    }
    await cell.settle(6);
  }
  t.false(node.pool.usable("b"));
});

test("peers: their counts show that a workload fails everywhere", async (t) => {
  const cell = await new DispatchTestCluster()
    .start(["1", "2"], { a: "1", b: "1", c: "2", d: "2" });
  const failing = {
    workload: "receipts",
    ending: "failed",
    tookMs: 1,
  } as const;
  for (let run = 0; run < 20; run++) cell.node("2").workers.ran("c", failing);
  await cell.run(2_100);
  for (let run = 0; run < 20; run++) cell.node("1").workers.ran("a", failing);
  t.true(cell.node("1").pool.usable("a"));
});

test("peers: their counts show that a worker alone fails", async (t) => {
  const cell = await new DispatchTestCluster()
    .start(["1", "2"], { a: "1", b: "1", c: "2", d: "2" });
  const run = { workload: "receipts", tookMs: 1 };
  for (let index = 0; index < 20; index++) {
    cell.node("2").workers.ran("c", { ...run, ending: "succeeded" });
  }
  await cell.run(2_100);
  for (let index = 0; index < 5; index++) {
    cell.node("1").workers.ran("a", { ...run, ending: "failed" });
  }
  t.false(cell.node("1").pool.usable("a"));
});
