import test from "ava";
import { DispatchTestCluster } from "../fakes/dispatch_test_cluster.ts";

test("a worker that never reports does not hold up the limits for good", async (t) => {
  const cell = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const settled: string[] = [];
  cell.node("2").workers.listen({
    roomChanged: () => {},
    tasksReported: () => {},
    trackedOn: () => new Set(),
    settled: (worker) => settled.push(worker),
  });
  cell.worker("a").faults.set("report", "workerUnreached");
  cell.worker("a").faults.set("renew", "workerUnreached");
  cell.own("a", "2");
  await cell.run(20_000);
  t.deepEqual(settled, []);
  await cell.run(15_000);
  t.true(settled.includes("a"));
  t.false(cell.node("2").workers.usable("a"));
});
