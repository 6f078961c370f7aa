import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import type { RunnableTask } from "../ports/runner.ts";
import type { StartFailure } from "./deferred_failures.ts";

const localWorker = () => new DispatchTestCluster().start(["1"], { a: "1" });
const peerWorker = () =>
  new DispatchTestCluster().start(["1", "2"], { a: "2" });
const localAndPeerWorker = () =>
  new DispatchTestCluster().start(["1", "2"], { a: "1", b: "2" });

function taskOf(
  cell: DispatchTestCluster,
  index = 0,
  work = "w.1",
): RunnableTask {
  const submittedAt = cell.clock.now().getTime();
  const rest = { team: "large", workload: "billing", payload: "" };
  return { work, task: index, ...rest, submittedAt, attempts: 0 };
}

function gangOf(cell: DispatchTestCluster, size: number, work = "w.1") {
  return Array.from({ length: size }, (_, index) => ({
    ...taskOf(cell, index, work),
    gangSize: size,
  }));
}

function assertFree(
  t: { is(a: unknown, b: unknown): void },
  cell: DispatchTestCluster,
) {
  for (const node of cell.nodes.values()) {
    t.is(node.allowances.running("large"), 0);
    t.is(node.placement.offers.size, 0);
    for (const id of node.pool.ids()) t.is(node.pool.allocated(id)?.slots, 0);
  }
}

for (
  const [setup, start] of Object.entries({
    localWorker,
    peerWorker,
  })
) {
  test(`start: the attempt is journalled before the start, ${setup}`, async (t) => {
    const cell = await start();
    const { tasks, attempts } = cell.node("1");
    tasks.enqueue([taskOf(cell)]);
    await cell.run(500);
    t.deepEqual(
      cell.worker("a").starts.map(({ attempt }) => attempt),
      [...attempts.started.keys()],
    );
    t.is(attempts.started.size, 1);
    t.deepEqual(attempts.outcomes, []);
  });
}

const startFailures: readonly [StartFailure["type"], { retries: boolean }][] = [
  ["notWaiting", { retries: false }],
  ["notHeld", { retries: false }],
  ["journalFull", { retries: true }],
];

for (const [failure, { retries }] of startFailures) {
  test(`journal: ${failure} prevents the start`, async (t) => {
    const cell = await peerWorker();
    const { tasks, attempts } = cell.node("1");
    attempts.startFailure = failure;
    tasks.enqueue([taskOf(cell)]);
    await cell.run(1_000);
    t.is(cell.worker("a").starts.length, 0);
    attempts.startFailure = undefined;
    await cell.run(1_000);
    t.is(cell.worker("a").starts.length, retries ? 1 : 0);
    if (!retries) assertFree(t, cell);
  });
}

test("journal: an attempt is not started after its reservation has expired", async (t) => {
  const cell = await peerWorker();
  const { tasks, attempts } = cell.node("1");
  attempts.startGate = new Promise((resolve) =>
    cell.clock.after(7_000, resolve)
  );
  tasks.enqueue([taskOf(cell)]);
  await cell.run(8_000);
  t.is(cell.worker("a").starts.length, 0);
  t.deepEqual(attempts.outcomes, [["attempt0", "notStarted"]]);
  assertFree(t, cell);
});

test("peer: an attempt is not started after the connection is cut", async (t) => {
  const cell = await peerWorker();
  const { tasks, attempts } = cell.node("1");
  attempts.startGate = new Promise((resolve) => cell.clock.after(300, resolve));
  tasks.enqueue([taskOf(cell)]);
  await cell.run(200);
  cell.network.cut("1", "2");
  await cell.run(8_000);
  t.is(cell.worker("a").starts.length, 0);
  t.deepEqual(attempts.outcomes, [["attempt0", "notStarted"]]);
  assertFree(t, cell);
});

test("peer: a task whose start response is lost runs once", async (t) => {
  const cell = await peerWorker();
  const { tasks, attempts } = cell.node("1");
  const worker = cell.worker("a");
  worker.beforeStart = () => {
    cell.network.cut("1", "2");
    return Promise.resolve();
  };
  tasks.enqueue([taskOf(cell)]);
  await cell.run(5_000);
  cell.network.heal("1", "2");
  await cell.run(5_000);
  t.is(worker.starts.length, 1);
  t.deepEqual(attempts.outcomes, []);
});

test("worker: an attempt on a removed worker is unknown after the lease has expired", async (t) => {
  const cell = await peerWorker();
  cell.list.workers.length = 0;
  await cell.run(17_000);
  const attempt = { work: "w.1", task: 0, attempt: "x", worker: "a", fence: 1 };
  const found = await cell.node("1").tasks.find(attempt);
  t.is(found._unsafeUnwrap().type, "unknown");
});

test("withdraw: tasks waiting for capacity leave the queue", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], {});
  const { tasks, queue, matching } = cell.node("1");
  tasks.enqueue([taskOf(cell), taskOf(cell, 1)]);
  t.is(matching.waiting, 2);
  tasks.withdraw(["w.1"]);
  t.is(queue.size, 0);
});

test("withdraw: a task of an unknown workload is not retried", async (t) => {
  const cell = await localWorker();
  const { tasks, attempts } = cell.node("1");
  const billing = cell.workloads.get("billing")!;
  cell.workloads.clear();
  tasks.enqueue([taskOf(cell)]);
  await cell.run(300);
  tasks.withdraw(["w.1"]);
  cell.workloads.set("billing", billing);
  await cell.run(1_000);
  t.is(attempts.started.size, 0);
});

test("start: a started task is no longer pending", async (t) => {
  const cell = await localWorker();
  const { tasks } = cell.node("1");
  tasks.enqueue([taskOf(cell)]);
  await cell.run(500);
  t.is(tasks.pendingCount, 0);
});

test("gang: all tasks start together across owners", async (t) => {
  const cell = await localAndPeerWorker();
  const { tasks } = cell.node("1");
  tasks.enqueue(gangOf(cell, 12));
  await cell.run(1_000);
  const started = ["a", "b"].map((id) => cell.worker(id).starts.length);
  t.deepEqual(started, [8, 4]);
});

test("gang: no task starts unless all fit, and reservations are cancelled at once", async (t) => {
  const cell = await localAndPeerWorker();
  const { tasks, gangs } = cell.node("1");
  tasks.enqueue(gangOf(cell, 17));
  await cell.settle(30);
  assertFree(t, cell);
  t.is(gangs.size, 1);
  await cell.run(5_000);
  for (const id of ["a", "b"]) t.is(cell.worker(id).starts.length, 0);
  tasks.withdraw(["w.1"]);
  await cell.run(5_000);
  t.is(gangs.size, 0);
  assertFree(t, cell);
});

test("gang: tasks of an owner disconnected after reserving are not started", async (t) => {
  const cell = await localAndPeerWorker();
  const { tasks, attempts } = cell.node("1");
  attempts.startGate = new Promise((resolve) => cell.clock.after(300, resolve));
  tasks.enqueue(gangOf(cell, 12));
  await cell.run(200);
  cell.network.cut("1", "2");
  await cell.run(8_000);
  t.is(cell.worker("b").starts.length, 0);
  t.deepEqual(attempts.outcomes.map(([, type]) => type), [
    "notStarted",
    "notStarted",
    "notStarted",
    "notStarted",
  ]);
  t.is(cell.node("2").allowances.running("large"), 0);
  t.is(cell.node("2").pool.allocated("b")?.slots, 0);
});

test("gang: a reservation at an owner that answers too late expires", async (t) => {
  const cell = await localAndPeerWorker();
  const { tasks } = cell.node("1");
  const { allowances, pool } = cell.node("2");
  cell.network.latencyMs = 2_000;
  tasks.enqueue(gangOf(cell, 12));
  await cell.run(3_500);
  tasks.withdraw(["w.1"]);
  await cell.run(8_000);
  t.is(allowances.running("large"), 0);
  t.is(pool.allocated("b")?.slots, 0);
  assertFree(t, cell);
});

test("gang: two gangs that compete for capacity both run", async (t) => {
  const cell = await localAndPeerWorker();
  cell.node("1").tasks.enqueue(gangOf(cell, 12, "w.1"));
  cell.node("2").tasks.enqueue(gangOf(cell, 12, "w.2"));
  await cell.run(3_000);
  const first = ["a", "b"].flatMap((id) => cell.worker(id).starts);
  t.is(first.length, 12);
  t.is(new Set(first.map(({ task }) => task.split("/")[0])).size, 1);
  for (const { attempt } of first) {
    for (const id of ["a", "b"]) {
      if (!cell.worker(id).tasks.has(attempt)) continue;
      cell.worker(id).set(attempt, { type: "succeeded", result: "" });
    }
  }
  await cell.run(8_000);
  const all = ["a", "b"].flatMap((id) => cell.worker(id).starts);
  t.is(all.length, 24);
});

test("cancel: an attempt on the worker of a peer is stopped", async (t) => {
  const cell = await peerWorker();
  const { tasks, attempts } = cell.node("1");
  tasks.enqueue([taskOf(cell)]);
  await cell.run(500);
  const [attempt] = attempts.started.keys();
  const started = { attempt: attempt!, worker: "a", fence: 1 };
  tasks.cancel([{ work: "w.1", task: 0, ...started }]);
  await cell.settle();
  t.deepEqual(cell.worker("a").stopped, [attempt!]);
});

for (const first of ["gang", "batch"] as const) {
  test(`enqueue: a call with a gang that does not fit starts its batch tasks, ${first} first`, async (t) => {
    const cell = await localAndPeerWorker();
    const { tasks, attempts } = cell.node("1");
    const gang = gangOf(cell, 17, "w.1");
    const batch = [0, 1].map((index) => taskOf(cell, index, "w.2"));
    tasks.enqueue(first === "gang" ? [...gang, ...batch] : [...batch, ...gang]);
    await cell.run(3_000);
    const started = [...attempts.started.values()];
    t.deepEqual(started.map(({ work }) => work), ["w.2", "w.2"]);
  });
}

test("limit: a gang never exceeds the limit of its team", async (t) => {
  const cell = await localWorker();
  const node = cell.node("1");
  node.allowances.limits.set("large", 4);
  node.tasks.enqueue(gangOf(cell, 5));
  await cell.run(3_000);
  t.is(cell.worker("a").starts.length, 0);
  assertFree(t, cell);
  t.is(node.pool.free("a")?.cpuMillis, 8 * NEED.cpuMillis);
});
