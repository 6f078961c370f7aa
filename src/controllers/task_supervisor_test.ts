import test from "ava";
import type { WorkerFailure } from "../errors.ts";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import { startCall } from "../wire/dispatch.ts";

const LEASE_MS = 15_000;
const oneInstance = () => new DispatchTestCluster().start(["1"], { a: "1" });
const twoInstances = () =>
  new DispatchTestCluster().start(["1", "2"], { a: "1" });

function addOffer(cell: DispatchTestCluster, offer: string): void {
  const { placement } = cell.node("1");
  const task = { team: "large", workload: "billing", need: NEED };
  const reserved = placement.reserve(task, []);
  if (reserved.type === "none") throw new TypeError(reserved.reason.type);
  const reservation = { offer, reservation: offer, ...reserved.place, ...task };
  placement.offers.add(reservation, 5_000);
}

function startRequestOf(attempt: string) {
  const task = "w.1/0";
  const rest = { team: "large", workload: "billing", payload: "" };
  return { offer: attempt, attempt, task, ...rest };
}

async function start(cell: DispatchTestCluster, attempt = "t1") {
  addOffer(cell, attempt);
  return await cell.node("1").taskSupervisor.start(startRequestOf(attempt));
}

function assertFree(
  t: { is(a: unknown, b: unknown): void },
  cell: DispatchTestCluster,
) {
  const { allowances, pool } = cell.node("1");
  t.is(allowances.running("large"), 0);
  t.is(pool.allocated("a")?.slots, 0);
}

const startFailures: readonly [WorkerFailure["type"], "notStarted"][] = [
  ["workerUnreached", "notStarted"],
  ["workerLeaving", "notStarted"],
  ["workerRefused", "notStarted"],
  ["workerFenced", "notStarted"],
];

for (const [fault, result] of startFailures) {
  test(`start: ${fault} is not started`, async (t) => {
    const cell = await oneInstance();
    cell.worker("a").faults.set("start", fault);
    t.is((await start(cell)).type, result);
    assertFree(t, cell);
  });

  test(`start: ${fault} after a report without the task is not started`, async (t) => {
    const cell = await oneInstance();
    const worker = cell.worker("a");
    worker.faults.set("start", fault);
    worker.beforeStart = () =>
      new Promise((resolve) => cell.clock.after(6_000, resolve));
    const starting = start(cell);
    await cell.run(7_000);
    t.is((await starting).type, result);
    t.deepEqual(cell.node("1").reportedCompletions, []);
    assertFree(t, cell);
  });
}

test("start: a task started by a silent worker completes as reported", async (t) => {
  const cell = await oneInstance();
  const worker = cell.worker("a");
  worker.faults.set("start", "workerSilent");
  t.is((await start(cell)).type, "lost");
  await cell.run(4_000);
  worker.set("t1", { type: "succeeded", result: "" });
  await cell.run(1_500);
  t.is(cell.node("1").reportedCompletions[0]?.end.type, "succeeded");
  assertFree(t, cell);
});

test("start: a task not started by a silent worker is lost", async (t) => {
  const cell = await oneInstance();
  const worker = cell.worker("a");
  worker.faults.set("start", "workerSilent");
  await start(cell);
  worker.tasks.clear();
  await cell.run(5_000);
  t.deepEqual(cell.node("1").reportedCompletions.map(({ end }) => end.type), [
    "lost",
  ]);
  assertFree(t, cell);
});

test("start: a task that was reported lost and reappears is stopped", async (t) => {
  const cell = await oneInstance();
  const worker = cell.worker("a");
  worker.faults.set("start", "workerSilent");
  await start(cell);
  const running = worker.tasks.get("t1")!;
  worker.tasks.clear();
  await cell.run(5_000);
  t.is(cell.node("1").reportedCompletions[0]?.end.type, "lost");
  worker.tasks.set("t1", running);
  await cell.run(1_500);
  t.true(worker.stopped.includes("t1"));
  t.is(cell.node("1").taskSupervisor.size, 0);
});

test("start: an expired offer is rejected", async (t) => {
  const cell = await oneInstance();
  addOffer(cell, "t1");
  await cell.run(6_000);
  t.is(
    (await cell.node("1").taskSupervisor.start(startRequestOf("t1"))).type,
    "notStarted",
  );
  t.is(cell.worker("a").starts.length, 0);
  assertFree(t, cell);
});

for (const loss of ["contact", "ownership"] as const) {
  test(`start: rejected if ${loss} is lost after the offer`, async (t) => {
    const cell = await oneInstance();
    addOffer(cell, "t1");
    if (loss === "contact") cell.node("1").authority.isLeaseValid = false;
    else cell.own("a", undefined);
    t.is(
      (await cell.node("1").taskSupervisor.start(startRequestOf("t1"))).type,
      "notStarted",
    );
    t.is(cell.worker("a").starts.length, 0);
  });
}

test("start: a duplicate request starts the task once", async (t) => {
  const cell = await twoInstances();
  addOffer(cell, "t1");
  const sendStart = () =>
    cell.node("2").peers.call("1", startCall, {
      params: startRequestOf("t1"),
      timeoutMs: 1_000,
    });
  const [first, second] = await Promise.all([sendStart(), sendStart()]);
  t.is(first._unsafeUnwrap().type, "started");
  t.not(second._unsafeUnwrap().type, "notStarted");
  t.is(cell.worker("a").starts.length, 1);
});

test("reports: a report measured before the start loses no task", async (t) => {
  const cell = await oneInstance();
  const worker = cell.worker("a");
  await start(cell);
  const running = worker.tasks.get("t1")!;
  worker.tasks.clear();
  worker.ageMs = 2_500;
  await cell.run(3_500);
  t.deepEqual(cell.node("1").reportedCompletions, []);
  worker.tasks.set("t1", running);
  await cell.run(5_000);
  t.deepEqual(cell.node("1").reportedCompletions, []);
});

test("completion: reported again until acknowledged", async (t) => {
  const cell = await oneInstance();
  const node = cell.node("1");
  const worker = cell.worker("a");
  node.acknowledgesCompletions = false;
  await start(cell);
  worker.set("t1", { type: "failed", detail: "" });
  await cell.run(3_000);
  t.true(node.reportedCompletions.length > 2);
  t.deepEqual(worker.forgotten, []);
  node.acknowledgesCompletions = true;
  await cell.run(600);
  t.deepEqual(worker.forgotten, ["t1"]);
  t.is(node.taskSupervisor.size, 0);
  assertFree(t, cell);
});

test("leases: renewed while the worker sends reports", async (t) => {
  const cell = await oneInstance();
  await start(cell);
  await cell.run(12_500);
  t.true(cell.worker("a").renewed.length >= 3);
});

test("leases: tasks of a silent worker are lost only after their leases expire", async (t) => {
  const cell = await oneInstance();
  await start(cell);
  await cell.run(2_000);
  const worker = cell.worker("a");
  worker.faults.set("report", "workerSilent");
  await cell.run(9_000);
  const renewalsBefore = worker.renewed.length;
  await cell.run(4_000 + LEASE_MS - 1_000);
  t.true(worker.renewed.length <= renewalsBefore + 1);
  t.deepEqual(cell.node("1").reportedCompletions, []);
  await cell.run(12_000);
  t.deepEqual(cell.node("1").reportedCompletions.map(({ end }) => end.type), [
    "lost",
  ]);
  assertFree(t, cell);
});

test("adopted task: counts as usage and completes once", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "2" });
  const worker = cell.worker("a");
  const rest = { task: "w.1/0", team: "large", workload: "billing" };
  worker.addTask({ attempt: "t1", ...rest, resources: NEED });
  cell.own("a", "1");
  await cell.run(1_500);
  const { allowances, pool, reportedCompletions } = cell.node("1");
  t.is(allowances.running("large"), 1);
  t.is(pool.free("a")?.slots, 7);
  worker.set("t1", { type: "succeeded", result: "" });
  await cell.run(2_500);
  t.is(allowances.running("large"), 0);
  t.is(pool.free("a")?.slots, 8);
  t.is(reportedCompletions.length, 1);
});

for (const source of ["started", "adopted"] as const) {
  test(`${source} task: a previous owner never reports it lost`, async (t) => {
    const cell = await twoInstances();
    const worker = cell.worker("a");
    if (source === "started") await start(cell);
    else {
      const rest = { task: "w.1/0", team: "large", workload: "billing" };
      worker.addTask({ attempt: "t1", ...rest, resources: NEED });
      await cell.run(1_500);
    }
    cell.own("a", "2");
    await cell.run(2_000);
    cell.node("1").workers.stop();
    await cell.run(60_000);
    t.deepEqual(cell.node("1").reportedCompletions, []);
    t.is(cell.node("1").allowances.running("large"), 0);
    t.is(cell.node("2").allowances.running("large"), 1);
  });
}

test("previous owner: releases the allowance of a task that completed under the new owner", async (t) => {
  const cell = await twoInstances();
  await start(cell);
  cell.own("a", "2");
  await cell.run(2_000);
  cell.worker("a").tasks.clear();
  await cell.run(5_000);
  t.deepEqual(cell.node("1").reportedCompletions, []);
  t.is(cell.node("1").taskSupervisor.size, 0);
  t.is(cell.node("1").allowances.running("large"), 0);
});

test("find: pending, then never started, and a late start is rejected", async (t) => {
  const cell = await oneInstance();
  const { taskSupervisor } = cell.node("1");
  t.is(await taskSupervisor.find("a", "t1"), "pending");
  await cell.run(3_000);
  t.is(await taskSupervisor.find("a", "t1"), "neverStarted");
  t.is((await start(cell)).type, "notStarted");
  t.is(cell.worker("a").starts.length, 0);
  assertFree(t, cell);
});

test("find: the worker rejects a start from the previous owner", async (t) => {
  const cell = await twoInstances();
  addOffer(cell, "t1");
  const worker = cell.worker("a");
  const fence = worker.fence;
  cell.own("a", "2");
  await cell.run(1_500);
  await cell.node("2").taskSupervisor.find("a", "t1");
  t.true(worker.fence > fence);
  const late = {
    attempt: "t1",
    task: "w.1/0",
    team: "large",
    workload: "billing",
    resources: NEED,
    fence: worker.fence - 1,
    leaseMs: LEASE_MS,
    payload: "",
  };
  const result = await cell.upstream.start("a", late);
  t.is(result._unsafeUnwrapErr().type, "workerFenced");
});

test("find: running at the owner, pending at other instances", async (t) => {
  const cell = await twoInstances();
  await start(cell);
  t.is(await cell.node("1").taskSupervisor.find("a", "t1"), "running");
  t.is(await cell.node("2").taskSupervisor.find("a", "t1"), "pending");
});

test("find: pending while the worker does not respond", async (t) => {
  const cell = await oneInstance();
  cell.worker("a").faults.set("renew", "workerSilent");
  const { taskSupervisor } = cell.node("1");
  await taskSupervisor.find("a", "t1");
  await cell.run(3_000);
  t.is(await taskSupervisor.find("a", "t1"), "pending");
});
