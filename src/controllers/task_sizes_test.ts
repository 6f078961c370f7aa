import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";
import type { RunnableTask } from "../ports/runner.ts";

function createTasks(
  cluster: DispatchTestCluster,
  count: number,
  work = "w.1",
) {
  const submittedAt = cluster.clock.now().getTime();
  const rest = { team: "large", workload: "billing", payload: "" };
  return Array.from({ length: count }, (_, task): RunnableTask => ({
    work,
    task,
    ...rest,
    submittedAt,
    attempts: 0,
  }));
}

async function startTasks(count: number): Promise<DispatchTestCluster> {
  const cluster = await new DispatchTestCluster().start(["1"], {
    a: "1",
    b: "1",
  });
  cluster.node("1").tasks.enqueue(createTasks(cluster, count));
  await cluster.run(500);
  return cluster;
}

const attemptsOn = (cluster: DispatchTestCluster, id: string) =>
  cluster.worker(id).starts.map(({ attempt }) => attempt);

test("sizes: a task reserves the observed usage of similar tasks", async (t) => {
  const cluster = await startTasks(1);
  const [attempt] = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(attempt!, { memoryMib: 3_000 });
  await cluster.run(1_500);
  cluster.node("1").tasks.enqueue(createTasks(cluster, 8, "w.2"));
  await cluster.run(1_000);
  const { pool } = cluster.node("1");
  for (const id of ["a", "b"]) {
    const starts = cluster.worker(id).starts.slice(id === "a" ? 1 : 0);
    t.true(starts.every(({ resources }) => resources.memoryMib >= 3_000));
    t.true(pool.free(id)!.memoryMib >= 0);
  }
  t.is(
    pool.allocated("a")!.memoryMib + pool.allocated("b")!.memoryMib,
    1_000 + 4 * 3_150,
  );
});

test("sizes: a task never reserves less than it declares", async (t) => {
  const cluster = await startTasks(1);
  const [attempt] = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(attempt!, { memoryMib: 10, cpuMillis: 10 });
  await cluster.run(1_500);
  cluster.node("1").tasks.enqueue(createTasks(cluster, 1, "w.2"));
  await cluster.run(500);
  const starts = ["a", "b"].flatMap((id) => cluster.worker(id).starts);
  t.deepEqual(starts.map(({ resources }) => resources), [NEED, NEED]);
});

test("sizes: an estimate above the size of every worker is capped to fit an empty one", async (t) => {
  const cluster = await startTasks(1);
  const [attempt] = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(attempt!, { memoryMib: 20_000 });
  await cluster.run(1_500);
  cluster.node("1").tasks.enqueue(createTasks(cluster, 1, "w.2"));
  await cluster.run(1_000);
  t.is(cluster.worker("b").starts[0]?.resources.memoryMib, 8_000);
});

test("sizes: the capacity released equals the capacity reserved", async (t) => {
  const cluster = await startTasks(1);
  const [first] = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(first!, { memoryMib: 3_000 });
  await cluster.run(1_500);
  cluster.node("1").tasks.enqueue(createTasks(cluster, 3, "w.2"));
  await cluster.run(1_000);
  for (const id of ["a", "b"]) {
    for (const attempt of attemptsOn(cluster, id)) {
      cluster.worker(id).set(attempt, { type: "succeeded", result: "" });
    }
  }
  await cluster.run(2_500);
  const { pool } = cluster.node("1");
  for (const id of ["a", "b"]) t.is(pool.free(id)?.memoryMib, 8_000);
});

test("overuse: tasks are throttled on processor overuse", async (t) => {
  const cluster = await startTasks(8);
  for (const attempt of attemptsOn(cluster, "a")) {
    cluster.worker("a").setUsage(attempt, { cpuMillis: 2_000 });
  }
  await cluster.run(1_000);
  t.true(cluster.worker("a").throttled.length > 0);
  t.deepEqual(cluster.worker("a").stopped, []);
});

test("overuse: the largest task is stopped on memory overuse", async (t) => {
  const cluster = await startTasks(8);
  const attempts = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(attempts[3]!, { memoryMib: 4_000 });
  await cluster.run(1_000);
  t.deepEqual([...new Set(cluster.worker("a").stopped)], [attempts[3]!]);
});

test("overuse: no action on a full worker whose tasks stay within their sizes", async (t) => {
  const cluster = await startTasks(8);
  await cluster.run(3_000);
  t.deepEqual(cluster.worker("a").stopped, []);
  t.deepEqual(cluster.worker("a").throttled, []);
});

test("overuse: a task that cannot be started again is not stopped", async (t) => {
  const cluster = await startTasks(8);
  const billing = cluster.workloads.get("billing")!;
  cluster.workloads.set("billing", { ...billing, idempotent: false });
  const attempts = attemptsOn(cluster, "a");
  cluster.worker("a").setUsage(attempts[3]!, { memoryMib: 4_000 });
  await cluster.run(1_000);
  t.deepEqual(cluster.worker("a").stopped, []);
});

test("overuse: no action on a worker that this instance does not own", async (t) => {
  const cluster = await startTasks(8);
  const [attempt] = attemptsOn(cluster, "a");
  cluster.own("a", undefined);
  cluster.worker("a").setUsage(attempt!, { memoryMib: 4_000 });
  await cluster.run(3_000);
  t.deepEqual(cluster.worker("a").stopped, []);
});
