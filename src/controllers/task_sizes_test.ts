import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import type { RunnableTask } from "../ports/runner.ts";

function tasksOf(cell: DispatchTestCluster, count: number, work = "w.1") {
  const submittedAt = cell.clock.now().getTime();
  const rest = { team: "large", workload: "billing", payload: "" };
  return Array.from({ length: count }, (_, task): RunnableTask => ({
    work,
    task,
    ...rest,
    submittedAt,
    attempts: 0,
  }));
}

async function running(count: number): Promise<DispatchTestCluster> {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1", b: "1" });
  cell.node("1").tasks.enqueue(tasksOf(cell, count));
  await cell.run(500);
  return cell;
}

const attemptsOn = (cell: DispatchTestCluster, id: string) =>
  cell.worker(id).starts.map(({ attempt }) => attempt);

test("sizes: a task reserves what its like were seen to use", async (t) => {
  const cell = await running(1);
  const [attempt] = attemptsOn(cell, "a");
  cell.worker("a").setUsage(attempt!, { memoryMib: 3_000 });
  await cell.run(1_500);
  cell.node("1").tasks.enqueue(tasksOf(cell, 8, "w.2"));
  await cell.run(1_000);
  const { pool } = cell.node("1");
  for (const id of ["a", "b"]) {
    const starts = cell.worker(id).starts.slice(id === "a" ? 1 : 0);
    t.true(starts.every(({ resources }) => resources.memoryMib >= 3_000));
    t.true(pool.free(id)!.memoryMib >= 0);
  }
  t.is(
    pool.taken("a")!.memoryMib + pool.taken("b")!.memoryMib,
    1_000 + 4 * 3_150,
  );
});

test("sizes: never below what is declared", async (t) => {
  const cell = await running(1);
  const [attempt] = attemptsOn(cell, "a");
  cell.worker("a").setUsage(attempt!, { memoryMib: 10, cpuMillis: 10 });
  await cell.run(1_500);
  cell.node("1").tasks.enqueue(tasksOf(cell, 1, "w.2"));
  await cell.run(500);
  const starts = ["a", "b"].flatMap((id) => cell.worker(id).starts);
  t.deepEqual(starts.map(({ resources }) => resources), [NEED, NEED]);
});

test("sizes: an estimate over every worker still fits an empty one", async (t) => {
  const cell = await running(1);
  const [attempt] = attemptsOn(cell, "a");
  cell.worker("a").setUsage(attempt!, { memoryMib: 20_000 });
  await cell.run(1_500);
  cell.node("1").tasks.enqueue(tasksOf(cell, 1, "w.2"));
  await cell.run(1_000);
  t.is(cell.worker("b").starts[0]?.resources.memoryMib, 8_000);
});

test("sizes: room is given back as it was taken", async (t) => {
  const cell = await running(1);
  const [first] = attemptsOn(cell, "a");
  cell.worker("a").setUsage(first!, { memoryMib: 3_000 });
  await cell.run(1_500);
  cell.node("1").tasks.enqueue(tasksOf(cell, 3, "w.2"));
  await cell.run(1_000);
  for (const id of ["a", "b"]) {
    for (const attempt of attemptsOn(cell, id)) {
      cell.worker(id).set(attempt, { type: "succeeded", result: "" });
    }
  }
  await cell.run(2_500);
  const { pool } = cell.node("1");
  for (const id of ["a", "b"]) t.is(pool.free(id)?.memoryMib, 8_000);
});

test("overuse: processors, throttled", async (t) => {
  const cell = await running(8);
  for (const attempt of attemptsOn(cell, "a")) {
    cell.worker("a").setUsage(attempt, { cpuMillis: 2_000 });
  }
  await cell.run(1_000);
  t.true(cell.worker("a").throttled.length > 0);
  t.deepEqual(cell.worker("a").stopped, []);
});

test("overuse: memory, the largest task is stopped", async (t) => {
  const cell = await running(8);
  const attempts = attemptsOn(cell, "a");
  cell.worker("a").setUsage(attempts[3]!, { memoryMib: 4_000 });
  await cell.run(1_000);
  t.deepEqual([...new Set(cell.worker("a").stopped)], [attempts[3]!]);
});

test("overuse: a full worker whose tasks keep to their sizes is left alone", async (t) => {
  const cell = await running(8);
  await cell.run(3_000);
  t.deepEqual(cell.worker("a").stopped, []);
  t.deepEqual(cell.worker("a").throttled, []);
});

test("overuse: a task that cannot be started again is not stopped", async (t) => {
  const cell = await running(8);
  const billing = cell.workloads.get("billing")!;
  cell.workloads.set("billing", { ...billing, idempotent: false });
  const attempts = attemptsOn(cell, "a");
  cell.worker("a").setUsage(attempts[3]!, { memoryMib: 4_000 });
  await cell.run(1_000);
  t.deepEqual(cell.worker("a").stopped, []);
});

test("overuse: another owner's worker is left alone", async (t) => {
  const cell = await running(8);
  const [attempt] = attemptsOn(cell, "a");
  cell.own("a", undefined);
  cell.worker("a").setUsage(attempt!, { memoryMib: 4_000 });
  await cell.run(3_000);
  t.deepEqual(cell.worker("a").stopped, []);
});
