import test from "ava";
import { DispatchTestCluster } from "../fakes/dispatch_test_cluster.ts";

test("work on a worker that never reports is accounted for after a timeout", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1", "2"], { a: "1" });
  const settled: string[] = [];
  cluster.node("2").workers.addListener({
    capacityChanged: () => {},
    tasksReported: () => {},
    trackedAttempts: () => new Set(),
    allAccountedFor: (worker) => settled.push(worker),
  });
  cluster.worker("a").faults.set("report", "workerUnreached");
  cluster.worker("a").faults.set("renew", "workerUnreached");
  cluster.own("a", "2");
  await cluster.run(20_000);
  t.deepEqual(settled, []);
  await cluster.run(15_000);
  t.true(settled.includes("a"));
  t.false(cluster.node("2").workers.isUsable("a"));
});
