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

const owners = { a: "1", b: "1", c: "1", d: "1" };
const start = () => new DispatchTestCluster().start(["1"], owners);

/** Runs requests one after the other; those on `bad` workers fail. */
async function runRequests(
  cluster: DispatchTestCluster,
  { count, bad, node = "1" }: {
    readonly count: number;
    readonly bad: readonly string[];
    readonly node?: string;
  },
): Promise<void> {
  for (const id of Object.keys(owners)) cluster.worker(id).holdsRequests = true;
  for (let index = 0; index < count; index++) {
    const id = `${cluster.clock.monotonic()}.${index}`;
    void cluster.node(node).requests.run(cluster.request(id));
    await cluster.settle(6);
    finishPending(cluster, bad);
    await cluster.settle(6);
  }
}

function finishPending(
  cluster: DispatchTestCluster,
  bad: readonly string[],
): void {
  for (const id of Object.keys(owners)) {
    const status = bad.includes(id) ? 500 : 200;
    for (const held of cluster.worker(id).pending.splice(0)) {
      held.finish(ok(createResponse(status)));
    }
  }
}

/** Records five runs on each worker; those on `failing` workers fail. */
function recordRuns(node: DispatchInstance, failing: readonly string[]): void {
  for (const worker of Object.keys(owners)) {
    const outcome = failing.includes(worker) ? "failed" : "succeeded";
    for (let run = 0; run < 5; run++) {
      node.workers.runEnded(worker, {
        workload: "receipts",
        outcome,
        elapsedMs: 1,
      });
    }
  }
}

const usableWorkers = ({ pool }: DispatchInstance) =>
  Object.keys(owners).filter((id) => pool.isUsable(id));

test("quarantine: a worker that fails what other workers complete gets no work", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  recordRuns(node, ["b"]);
  recordRuns(node, ["b"]);
  t.deepEqual(usableWorkers(node), ["a", "c", "d"]);
  await runRequests(cluster, { count: 20, bad: ["b"] });
  t.is(cluster.worker("b").executedRequests.length, 0);
});

test("quarantine: a workload that fails everywhere quarantines no worker", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  for (let round = 0; round < 5; round++) recordRuns(node, Object.keys(owners));
  t.deepEqual(usableWorkers(node).length, 4);
});

test("quarantine: at most a quarter of the workers are quarantined", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  for (let round = 0; round < 5; round++) recordRuns(node, ["a", "b"]);
  t.is(usableWorkers(node).length, 3);
});

for (
  const [name, status, after] of [["passes", 200, 4], [
    "fails",
    500,
    3,
  ]] as const
) {
  test(`probe: a worker gets one run, which ${name}`, async (t) => {
    const cluster = await start();
    const node = cluster.node("1");
    recordRuns(node, ["b"]);
    recordRuns(node, ["b"]);
    t.is(usableWorkers(node).length, 3);
    for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
    await cluster.run(6_200);
    t.is(usableWorkers(node).length, 4);
    cluster.worker("b").holdsRequests = true;
    for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
    for (const id of ["r", "s", "u"]) {
      void node.requests.run(cluster.request(id));
    }
    await cluster.settle();
    t.is(cluster.worker("b").pending.length, 1);
    cluster.worker("b").holdsRequests = false;
    cluster.worker("b").pending[0]!.finish(ok(createResponse(status)));
    await cluster.run(1_500);
    t.is(usableWorkers(node).length, after);
  });
}

test("probe: a run of unknown outcome is followed by another probe", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  recordRuns(node, ["b"]);
  recordRuns(node, ["b"]);
  await cluster.run(6_200);
  node.workers.capacityReserved("b");
  t.false(node.pool.isUsable("b"));
  const run = {
    workload: "receipts",
    outcome: "unknown",
    elapsedMs: 1,
  } as const;
  node.workers.runEnded("b", run);
  t.false(node.pool.isUsable("b"));
  await cluster.run(31_000);
  t.true(node.pool.isUsable("b"));
});

test("probe: capacity reserved for the probe may be used", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  recordRuns(node, ["b"]);
  recordRuns(node, ["b"]);
  await cluster.run(6_200);
  node.workers.capacityReserved("b");
  t.true(node.workers.isUsable("b"));
});

test("rejections: count against the worker", async (t) => {
  const cluster = await start();
  const node = cluster.node("1");
  recordRuns(node, []);
  recordRuns(node, []);
  cluster.worker("b").holdsRequests = true;
  for (const id of ["a", "c", "d"]) node.pool.setUsable(id, false);
  for (let index = 0; index < 12; index++) {
    const { waiting, ...request } = cluster.request(`r${index}`);
    void node.requests.run({ ...request, waiting });
    await cluster.settle(6);
    for (const held of cluster.worker("b").pending.splice(0)) {
      held.finish(err(createWorkerFailure("workerRefused")));
    }
    await cluster.settle(6);
  }
  t.false(node.pool.isUsable("b"));
});

test("peers: their counts prevent a quarantine if a workload fails everywhere", async (t) => {
  const cluster = await new DispatchTestCluster()
    .start(["1", "2"], { a: "1", b: "1", c: "2", d: "2" });
  const failing = {
    workload: "receipts",
    outcome: "failed",
    elapsedMs: 1,
  } as const;
  for (let run = 0; run < 20; run++) {
    cluster.node("2").workers.runEnded("c", failing);
  }
  await cluster.run(2_100);
  for (let run = 0; run < 20; run++) {
    cluster.node("1").workers.runEnded("a", failing);
  }
  t.true(cluster.node("1").pool.isUsable("a"));
});

test("peers: their counts cause a quarantine if only one worker fails", async (t) => {
  const cluster = await new DispatchTestCluster()
    .start(["1", "2"], { a: "1", b: "1", c: "2", d: "2" });
  const run = { workload: "receipts", elapsedMs: 1 };
  for (let index = 0; index < 20; index++) {
    cluster.node("2").workers.runEnded("c", { ...run, outcome: "succeeded" });
  }
  await cluster.run(2_100);
  for (let index = 0; index < 5; index++) {
    cluster.node("1").workers.runEnded("a", { ...run, outcome: "failed" });
  }
  t.false(cluster.node("1").pool.isUsable("a"));
});
