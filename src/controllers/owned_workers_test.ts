import test from "ava";
import { DispatchCell } from "../fakes/dispatch_cell.ts";

test("work on a worker that never reports is accounted for after a timeout", async (t) => {
  const cluster = await new DispatchCell().start(["1", "2"], { a: "1" });
  const settled: string[] = [];
  cluster.node("2").workers.listen({
    roomChanged: () => {},
    tasksReported: () => {},
    trackedOn: () => new Set(),
    settled: (worker) => settled.push(worker),
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
