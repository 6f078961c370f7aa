import test from "ava";
import { DispatchTestCluster, NEED } from "../fakes/dispatch_test_cluster.ts";

const kinds: readonly [string, readonly number[]][] = [
  ["receipts", [2, 2]],
  ["billing", [4, 0]],
];

for (const [workload, slots] of kinds) {
  test(`kind: ${workload}`, async (t) => {
    const cell = await new DispatchTestCluster().start(["1"], {
      a: "1",
      b: "1",
    });
    const { placement, pool } = cell.node("1");
    const task = { team: "large", workload, need: NEED };
    for (let index = 0; index < 4; index++) placement.reserve(task, []);
    const taken = ["a", "b"].map((id) => pool.taken(id)!.slots);
    t.deepEqual(taken.toSorted((a, b) => b - a), slots);
  });
}

test("kind: never on a worker to avoid", async (t) => {
  const cell = await new DispatchTestCluster().start(["1"], { a: "1", b: "1" });
  const { placement } = cell.node("1");
  for (const workload of ["receipts", "billing", "unknown"]) {
    const task = { team: "large", workload, need: NEED };
    const reserved = placement.reserve(task, ["a"]);
    t.is(reserved.type === "place" && reserved.place.worker, "b");
  }
});
