import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import type { RunnableTask } from "../ports/runner.ts";
import type { StartFailure } from "./deferred_failures.ts";

const alone = () => new DispatchTestCluster().start(["1"], { a: "1" });
const apart = () => new DispatchTestCluster().start(["1", "2"], { a: "2" });
const both = () =>
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
    for (const id of node.pool.ids()) t.is(node.pool.taken(id)?.slots, 0);
  }
}

for (const [place, start] of Object.entries({ alone, apart })) {
  test(`task: written ahead, then started, ${place}`, async (t) => {
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

const refusals: readonly [StartFailure["type"], { again: boolean }][] = [
  ["notWaiting", { again: false }],
  ["notHeld", { again: false }],
  ["journalFull", { again: true }],
];

for (const [refusal, { again }] of refusals) {
  test(`journal: ${refusal}`, async (t) => {
    const cell = await apart();
    const { tasks, attempts } = cell.node("1");
    attempts.startFailure = refusal;
    tasks.enqueue([taskOf(cell)]);
    await cell.run(1_000);
    t.is(cell.worker("a").starts.length, 0);
    attempts.startFailure = undefined;
    await cell.run(1_000);
    t.is(cell.worker("a").starts.length, again ? 1 : 0);
    if (!again) assertFree(t, cell);
  });
}

test("journal: slower than the reservation", async (t) => {
  const cell = await apart();
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

test("peer: cut between room and start", async (t) => {
  const cell = await apart();
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

test("peer: the answer to a start is lost", async (t) => {
  const cell = await apart();
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

test("worker: absent for longer than a lease", async (t) => {
  const cell = await apart();
  cell.list.workers.length = 0;
  await cell.run(17_000);
  const attempt = { work: "w.1", task: 0, attempt: "x", worker: "a", fence: 1 };
  const found = await cell.node("1").tasks.find(attempt);
  t.is(found._unsafeUnwrap().type, "unknown");
});

test("withdrawn: a task that waits for room never starts", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], {});
  const { tasks, queue, matching } = cell.node("1");
  tasks.enqueue([taskOf(cell), taskOf(cell, 1)]);
  t.is(matching.waiting, 2);
  tasks.withdraw(["w.1"]);
  t.is(queue.size, 0);
});

test("withdrawn: a task whose workload is unknown is not looked at again", async (t) => {
  const cell = await alone();
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

test("started: nothing of the task is kept by the runner", async (t) => {
  const cell = await alone();
  const { tasks } = cell.node("1");
  tasks.enqueue([taskOf(cell)]);
  await cell.run(500);
  t.is(tasks.pending, 0);
});

test("gang: all start together across owners", async (t) => {
  const cell = await both();
  const { tasks } = cell.node("1");
  tasks.enqueue(gangOf(cell, 12));
  await cell.run(1_000);
  const started = ["a", "b"].map((id) => cell.worker(id).starts.length);
  t.deepEqual(started, [8, 4]);
});

test("gang: none starts unless all fit, and what was held is free at once", async (t) => {
  const cell = await both();
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

test("gang: an owner is cut off between reserving and starting", async (t) => {
  const cell = await both();
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
  t.is(cell.node("2").pool.taken("b")?.slots, 0);
});

test("gang: an owner that does not answer holds nothing for long", async (t) => {
  const cell = await both();
  const { tasks } = cell.node("1");
  const { allowances, pool } = cell.node("2");
  cell.network.latencyMs = 2_000;
  tasks.enqueue(gangOf(cell, 12));
  await cell.run(3_500);
  tasks.withdraw(["w.1"]);
  await cell.run(8_000);
  t.is(allowances.running("large"), 0);
  t.is(pool.taken("b")?.slots, 0);
  assertFree(t, cell);
});

test("gang: two that want the same rooms both run in the end", async (t) => {
  const cell = await both();
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

test("cancelled: an attempt on a peer's worker is stopped", async (t) => {
  const cell = await apart();
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
  test(`adopted: a ${first} first among works of both kinds`, async (t) => {
    const cell = await both();
    const { tasks, attempts } = cell.node("1");
    const gang = gangOf(cell, 17, "w.1");
    const batch = [0, 1].map((index) => taskOf(cell, index, "w.2"));
    tasks.enqueue(first === "gang" ? [...gang, ...batch] : [...batch, ...gang]);
    await cell.run(3_000);
    const started = [...attempts.started.values()];
    t.deepEqual(started.map(({ work }) => work), ["w.2", "w.2"]);
  });
}

test("limit: a gang never takes a team over it", async (t) => {
  const cell = await alone();
  const node = cell.node("1");
  node.allowances.limits.set("large", 4);
  node.tasks.enqueue(gangOf(cell, 5));
  await cell.run(3_000);
  t.is(cell.worker("a").starts.length, 0);
  assertFree(t, cell);
  t.is(node.pool.free("a")?.cpuMillis, 8 * NEED.cpuMillis);
});
