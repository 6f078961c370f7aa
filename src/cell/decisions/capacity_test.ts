import test from "ava";
import { Fleet } from "../fleet.ts";
import { newRun } from "../run.ts";
import {
  LARGE_FLEET,
  LARGE_WORKER,
  largeFleet,
  openWorker,
  stepOf,
} from "./_fixtures_test.ts";
import {
  availableCapacity,
  CapacityIndex,
  hasCapacity,
  ReservedTotals,
} from "./capacity.ts";

const SERVICE = "copier";

function cores(cpuMillis: number) {
  return { cpuMillis, memoryMib: 0, accelerators: 0 };
}

test("a search returns only workers with enough free processors", (t) => {
  const fleet = largeFleet((index) => index % 64 * 1_000);
  const index = new CapacityIndex(fleet, 0);
  const returned = index.withFreeCpu(SERVICE, 60_000);
  t.is(
    returned.length,
    [...fleet.workers.values()].filter((worker) =>
      LARGE_WORKER.cpuMillis - worker.used.cpuMillis >= 60_000
    ).length,
  );
  const free = returned.map(({ used }) => used.cpuMillis);
  t.deepEqual(
    free,
    [...free].sort((a, b) => b - a),
    "ordered by free processors, the fullest first",
  );
});

test("a search after placements still returns all workers with capacity", (t) => {
  const fleet = largeFleet(() => 0);
  const index = new CapacityIndex(fleet, 0);
  t.is(index.workers(SERVICE).length, LARGE_FLEET);
  const step = stepOf({ amounts: cores(40_000) });
  const [first] = index.withFreeCpu(SERVICE, 40_000);
  const placement = { task: step.tasks[0]!, worker: first!, nowMs: 0 };
  fleet.addRun(newRun(step, placement));
  const laterStep = stepOf({ amounts: cores(30_000) });
  const returned = index.withFreeCpu(SERVICE, 30_000);
  const withCapacity = returned.filter((worker) =>
    hasCapacity(laterStep, worker, new ReservedTotals())
  );
  t.is(withCapacity.length, LARGE_FLEET - 1);
});

test("workers that take no work are not in the index and its totals", (t) => {
  const fleet = new Fleet();
  openWorker(fleet, "w1");
  openWorker(fleet, "w2", { draining: true });
  openWorker(fleet, "w3").reachable = false;
  openWorker(fleet, "w4").avoidUntilMs = 1_000;
  const index = new CapacityIndex(fleet, 500);
  t.deepEqual(index.workers(SERVICE).map(({ id }) => id), ["w1"]);
  t.deepEqual([...index.totals()], [
    [SERVICE, { cpuMillis: 4_000, usedMillis: 0 }],
  ]);
  t.deepEqual(index.workers("printer"), []);
});

test("reservations add up and reduce the available capacity", (t) => {
  const worker = openWorker(new Fleet(), "w1");
  const reserved = new ReservedTotals();
  reserved.add(new Map([["w1", cores(1_000)]]));
  t.is(availableCapacity(worker, reserved).cpuMillis, 3_000);
  reserved.add(new Map([["w1", cores(2_000)]]));
  t.is(availableCapacity(worker, reserved).cpuMillis, 1_000);
});
