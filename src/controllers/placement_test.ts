import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";

const kinds: readonly [string, readonly number[]][] = [
  ["receipts", [2, 2]],
  ["billing", [4, 0]],
];

for (const [workload, slots] of kinds) {
  test(`kind: placement of ${workload}`, async (t) => {
    const cluster = await new DispatchTestCluster().start(["1"], {
      a: "1",
      b: "1",
    });
    const { placement, pool } = cluster.node("1");
    const task = { team: "large", workload, need: NEED };
    for (let index = 0; index < 4; index++) placement.reserve(task, []);
    const taken = ["a", "b"].map((id) => pool.allocated(id)!.slots);
    t.deepEqual(taken.toSorted((a, b) => b - a), slots);
  });
}

test("kind: never placed on a worker to avoid", async (t) => {
  const cluster = await new DispatchTestCluster().start(["1"], {
    a: "1",
    b: "1",
  });
  const { placement } = cluster.node("1");
  for (const workload of ["receipts", "billing", "unknown"]) {
    const task = { team: "large", workload, need: NEED };
    const reserved = placement.reserve(task, ["a"]);
    t.is(reserved.type === "place" && reserved.place.worker, "b");
  }
});
